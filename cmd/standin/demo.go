package main

import (
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"heatherrelay/internal/standin/demo"
)

// demoCommand runs stand-ins and instances in one process, as a quick start.
func demoCommand() *cobra.Command {
	var verbose bool
	d := &demo.Demo{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run stand-ins and three instances in one process, and show two responses",
		Example: "  standin demo\n" +
			"  standin demo --once",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			level := zap.NewAtomicLevelAt(zap.ErrorLevel)
			if verbose {
				level.SetLevel(zap.InfoLevel)
			}
			config := zap.NewProductionConfig()
			config.Level = level
			log, err := config.Build()
			if err != nil {
				return err
			}
			d.Out = cmd.OutOrStdout()
			d.Log = log
			return d.Run(cmd.Context())
		},
	}
	cmd.Flags().BoolVar(&d.Once, "once", false, "exit after the two responses")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "write the instances' logs to standard error")
	return cmd
}
