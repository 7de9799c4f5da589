//go:build never

// Package deps keeps the declared libraries in go.mod until each has its first use.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/gofiber/fiber/v3"
	_ "github.com/gofiber/fiber/v3/middleware/adaptor"
	_ "github.com/google/uuid"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/prometheus/client_model/go"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/pool"
	_ "github.com/spf13/cobra"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/zap"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
