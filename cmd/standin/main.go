// Command standin runs what surrounds the system in tests and first tries: a
// platform, a model engine, a plain service, and a load of requests.
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
		Short:         "Stand-ins for the platform, engines and services",
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
