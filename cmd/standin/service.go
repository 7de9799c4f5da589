package main

import (
	"github.com/spf13/cobra"

	"heatherrelay/internal/standin"
)

// serviceCommand runs a stand-in for a plain service.
func serviceCommand() *cobra.Command {
	var address string
	s := &standin.Service{}
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run a stand-in for a plain service that echoes and counts its calls",
		Example: "  standin service --name dispatch",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, address, s.Start)
		},
	}
	listenFlag(cmd, &address)
	cmd.Flags().StringVar(&s.Name, "name", "service", "name of the service")
	return cmd
}
