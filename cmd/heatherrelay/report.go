package main

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/spf13/cobra"

	"heatherrelay/internal/burn"
	"heatherrelay/internal/objectstore"
)

// outputHTML is the form of a report as one page.
const outputHTML = "html"

// reportCommand groups the reports over all instances.
func reportCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Report over all instances",
	}
	cmd.AddCommand(reportBurnCommand())
	return cmd
}

// reportBurnCommand reports how fast service-level objectives are used up.
func reportBurnCommand() *cobra.Command {
	var flags platformFlags
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Report how fast service-level objectives are used up",
		Long: `Read the metrics of all instances that hold a lease, and report for each team and
route class how fast its objectives are used up: budget left, burn rates over
several windows, the objective that burns fastest and why. Instances that cannot
be read are named.`,
		Example: `  heatherrelay report burn --platform 127.0.0.1:7400
  heatherrelay report burn --platform 127.0.0.1:7400 --output html > burn.html`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			output := flags.output
			if output == outputHTML {
				flags.output = outputText
			}
			store, err := flags.store()
			if err != nil {
				return err
			}
			report, err := burnReport(cmd.Context(), store, timeout)
			if err != nil {
				return err
			}
			return printReport(cmd.OutOrStdout(), output, report)
		},
	}
	flags.register(cmd)
	cmd.Flags().Lookup("output").Usage = "form of the result: text, json or html"
	cmd.Flags().DurationVar(&timeout, "timeout", 3*time.Second, "longest wait for one instance")
	return cmd
}

// burnReport reads the metrics of all instances that hold a lease.
func burnReport(ctx context.Context, store objectstore.Store, timeout time.Duration) (burn.Report, error) {
	listing, err := store.List(ctx, objectstore.InstanceLeasePrefix)
	if err != nil {
		return burn.Report{}, err
	}
	var sources []burn.Source
	for _, object := range listing.Objects {
		var lease objectstore.InstanceLease
		if err := json.Unmarshal(object.Value, &lease); err != nil {
			return burn.Report{}, err
		}
		sources = append(sources, burn.Source{Instance: lease.ID, Zone: lease.Zone, Address: lease.Metrics})
	}
	collector := burn.Collector{Timeout: timeout}
	return burn.NewReport(time.Now(), collector.Collect(ctx, sources)), nil
}

func printReport(w io.Writer, output string, report burn.Report) error {
	switch output {
	case outputJSON:
		return printJSON(w, report)
	case outputHTML:
		return burn.WriteHTML(w, report)
	default:
		return burn.WriteTable(w, report)
	}
}
