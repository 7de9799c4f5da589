package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionCommand prints the program's version and the Go version it was built with.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  heatherrelay version",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return errNoBuildInfo
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "heatherrelay %s %s\n", info.Main.Version, info.GoVersion)
			return err
		},
	}
}
