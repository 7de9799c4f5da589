package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"heatherrelay/internal/eventlog"
	"heatherrelay/internal/gatewayinstance"
	"heatherrelay/platform"
)

// settingsVariable is the environment variable that holds the path of the settings
// file.
const settingsVariable = "HEATHERRELAY_CONFIG"

// gatewayCommand runs an instance on the users' platform until SIGTERM or SIGINT.
func gatewayCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     "gateway",
		Short:   "Run an instance on the users' platform",
		Long:    "Run an instance on the users' platform until SIGTERM or SIGINT, then shut down gracefully.\nLogs go to standard output. SIGHUP checks the settings file; its changes take effect at the next start.",
		Example: "  heatherrelay gateway --config instance.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := gatewayinstance.Load(path)
			if err != nil {
				return invalidInput(err)
			}
			return runGateway(cmd, path, s)
		},
	}
	command.Flags().StringVar(&path, "config", os.Getenv(settingsVariable), "settings file (TOML); defaults to the value of $"+settingsVariable)
	return command
}

func runGateway(cmd *cobra.Command, path string, s gatewayinstance.Settings) error {
	out := eventlog.NewAsyncWriter(cmd.OutOrStdout())
	defer out.Close()
	log, err := eventlog.New(s.LogLevel, out)
	if err != nil {
		return invalidInput(err)
	}
	limitMemory(s.MemoryMB)
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go checkSettingsOnHangup(ctx, hangups, path, log)
	i := &gatewayinstance.Instance{Settings: s, Log: log, Registry: prometheus.NewRegistry()}
	platform.Connect(i)
	return i.Run(ctx)
}

// heapFraction is the part of an instance's memory that the garbage collector aims to stay
// within. The rest is for what the collector doesn't count, such as bytes in the buffers of
// connections.
const heapFraction = 0.7

// limitMemory has the garbage collector run more often as the process nears its memory, beyond
// which the platform kills it.
func limitMemory(memoryMB float64) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * memoryMB * (1 << 20)))
	}
}

// checkSettingsOnHangup checks the settings file at each SIGHUP and logs the result.
// The settings of the running instance do not change.
func checkSettingsOnHangup(ctx context.Context, hangups <-chan os.Signal, path string, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := gatewayinstance.Load(path); err != nil {
			log.Error("settings file is invalid; the instance keeps its settings", zap.Error(err))
			continue
		}
		log.Info("settings file is valid; its changes take effect at the next start")
	}
}
