package burn

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// endpointTimeout bounds reading a request and writing its response.
const endpointTimeout = 10 * time.Second

// Endpoint serves an instance's metrics, liveness and readiness on its own listener,
// separate from callers' requests. Set the exported fields before Run.
type Endpoint struct {
	Listener net.Listener
	Registry *prometheus.Registry
	// Ready returns an error with the reason while no new requests should be routed
	// to the instance.
	Ready func() error
}

// Run serves until ctx is done.
func (e *Endpoint) Run(ctx context.Context) error {
	app := fiber.New(fiber.Config{ReadTimeout: endpointTimeout, WriteTimeout: endpointTimeout})
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", e.ready)
	app.Get(metricsPath, adaptor.HTTPHandler(promhttp.HandlerFor(e.Registry, promhttp.HandlerOpts{})))
	return app.Listener(e.Listener, fiber.ListenConfig{
		DisableStartupMessage: true,
		GracefulContext:       ctx,
		ShutdownTimeout:       time.Second,
	})
}

func (e *Endpoint) ready(c fiber.Ctx) error {
	if err := e.Ready(); err != nil {
		return c.Status(http.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ok\n")
}
