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

// outputHTML is the output format of a report as one HTML page.
const outputHTML = "html"

// reportCommand groups the commands that report on all instances.
func reportCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Print reports on all instances",
	}
	cmd.AddCommand(reportBurnCommand())
	return cmd
}

// reportBurnCommand reports how fast the error budgets of the service-level
// objectives are consumed.
func reportBurnCommand() *cobra.Command {
	var flags platformFlags
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Report how fast the error budgets of service-level objectives are consumed",
		Long: `Read the metrics of all instances that hold a lease, and report for each team and
route class how fast the error budgets of its objectives are consumed: the budget
left, burn rates over several windows, and the objective with the highest burn rate
and its cause. Instances whose metrics cannot be read are listed.`,
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
	cmd.Flags().Lookup("output").Usage = "output format: text, json or html"
	cmd.Flags().DurationVar(&timeout, "timeout", 3*time.Second, "timeout for reading the metrics of one instance")
	return cmd
}

// burnReport reads the metrics of all instances that hold a lease and returns the
// report on them.
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
	scraper := burn.Scraper{Timeout: timeout}
	return burn.NewReport(time.Now(), scraper.Scrape(ctx, sources)), nil
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
