// Command standin runs stand-ins for what surrounds the instances, for tests and as a
// quick start: a platform, a model engine, a plain service, and a load generator.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// rootCommand returns the program's command tree.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Run stand-ins for the platform, engines and services, and generate load",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		platformCommand(),
		engineCommand(),
		serviceCommand(),
		loadCommand(),
		demoCommand(),
	)
	return root
}
