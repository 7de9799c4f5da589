package main

import (
	"encoding/json"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"heatherrelay/internal/eventlog"
	"heatherrelay/internal/instance"
	"heatherrelay/internal/settings"
)

// serveCommand runs an instance until SIGTERM or SIGINT.
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
				return invalidInput(err)
			}
			return serve(cmd, s)
		},
	}
	command.Flags().StringVar(&path, "config", "", "settings file (TOML)")
	_ = command.MarkFlagRequired("config")
	return command
}

func serve(cmd *cobra.Command, s settings.Settings) error {
	log, err := eventlog.New(s.Log.Level, cmd.ErrOrStderr())
	if err != nil {
		return invalidInput(err)
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	i := &instance.Instance{
		Settings: s,
		Log:      log,
		OnListening: func(a instance.Addresses) {
			_ = json.NewEncoder(cmd.OutOrStdout()).Encode(a)
		},
	}
	return i.Run(ctx)
}
