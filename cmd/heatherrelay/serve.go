package main

import (
	"encoding/json"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"heatherrelay/internal/instance"
	"heatherrelay/internal/settings"
)

// serveCommand runs an instance until it is told to stop.
func serveCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     "serve",
		Short:   "Run an instance",
		Long:    "Run an instance until SIGTERM or SIGINT, then shut down gracefully.\nPrints its addresses as one JSON line once it listens; logs go to standard error.",
		Example: "  heatherrelay serve --config instance.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return invalid(err)
			}
			return serve(cmd, s)
		},
	}
	command.Flags().StringVar(&path, "config", "", "settings file (TOML)")
	_ = command.MarkFlagRequired("config")
	return command
}

func serve(cmd *cobra.Command, s settings.Settings) error {
	log, err := newLog(s.Log.Level, cmd.ErrOrStderr())
	if err != nil {
		return invalid(err)
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	i := &instance.Instance{
		Settings: s,
		Log:      log,
		Listening: func(a instance.Addresses) {
			_ = json.NewEncoder(cmd.OutOrStdout()).Encode(a)
		},
	}
	return i.Run(ctx)
}

// newLog returns a logger of JSON lines.
func newLog(level string, out io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(out)), parsed)
	return zap.New(core), nil
}
