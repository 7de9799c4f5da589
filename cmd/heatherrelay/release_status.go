package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"heatherrelay/internal/publication"
)

// statusPollInterval is the time between two reads of the status with --wait.
const statusPollInterval = 300 * time.Millisecond

// releaseStatusCommand shows on which instances a release note is in force.
func releaseStatusCommand() *cobra.Command {
	var flags platformFlags
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "status NUMBER",
		Short: "Show where a release note is in force",
		Long: `Show for each availability zone on how many instances a release note is in force,
and on which it is not. The exit code is 0 only if it is in force on every instance
in the platform's list and on every instance that holds a lease.`,
		Example: `  heatherrelay release status 18 --platform 127.0.0.1:7400
  heatherrelay release status 18 --platform 127.0.0.1:7400 --wait 14s --output json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || number == 0 {
				return invalidInput(errUsage.New("NUMBER: %q is not the number of a release note", args[0]))
			}
			store, err := flags.store()
			if err != nil {
				return err
			}
			status, err := waitForStatus(cmd.Context(), publication.StatusReader{Store: store}, number, wait)
			if err != nil {
				return err
			}
			if err := printStatus(cmd.OutOrStdout(), flags.output, status); err != nil {
				return err
			}
			if !status.InForce {
				return errNotInForce.New("release note %d", number)
			}
			return nil
		},
	}
	flags.register(cmd)
	cmd.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait until it is in force on all instances")
	return cmd
}

// waitForStatus reads the status until the note is in force on all instances or wait
// has passed, and returns the last status.
func waitForStatus(ctx context.Context, r publication.StatusReader, number uint64, wait time.Duration) (publication.Status, error) {
	deadline := time.Now().Add(wait)
	for {
		status, err := r.Read(ctx, number)
		if err == nil && status.InForce || time.Now().Add(statusPollInterval).After(deadline) {
			return status, err
		}
		select {
		case <-ctx.Done():
			return status, ctx.Err()
		case <-time.After(statusPollInterval):
		}
	}
}

func printStatus(w io.Writer, output string, status publication.Status) error {
	if output == outputJSON {
		return printJSON(w, status)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tIN FORCE\tINSTANCES\tNOT YET")
	for _, z := range status.Zones {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", z.Zone, z.InForce, z.Instances, strings.Join(z.MissingText(), ", "))
	}
	return table.Flush()
}
