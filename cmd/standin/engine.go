package main

import (
	"github.com/spf13/cobra"

	"heatherrelay/internal/standin"
)

// engineCommand runs a stand-in for a model engine.
func engineCommand() *cobra.Command {
	var address string
	e := &standin.Engine{}
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run a stand-in for a model engine",
		Example: "  standin engine --id silom-1 --base-model power --slots 8 --checks-fencing",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd, address, e.Start)
		},
	}
	flags := cmd.Flags()
	listenFlag(cmd, &address)
	flags.StringVar(&e.ID, "id", "engine", "target id of the engine")
	flags.StringVar(&e.BaseModel, "base-model", "base", "name of the base model")
	flags.IntVar(&e.Slots, "slots", standin.DefaultSlots, "number of adapters that can be resident")
	flags.IntVar(&e.MaxBatch, "max-batch", standin.DefaultMaxBatch, "maximum number of streams that run at once")
	flags.DurationVar(&e.StepTime, "step-time", standin.DefaultStepTime, "duration of a step with one stream")
	flags.DurationVar(&e.StreamRetention, "kept-streams", standin.DefaultStreamRetention, "how long a stream is kept after its last reader disconnected")
	flags.BoolVar(&e.ChecksFencing, "checks-fencing", false, "refuse calls with an outdated fencing number")
	flags.DurationVar(&e.LoadReportMaxAge, "load-lag", 0, "maximum age of load reports")
	flags.DurationVar(&e.EventLag, "event-lag", 0, "delay after which cache events are published")
	flags.DurationVar(&e.Weights.Local.FetchTime, "load-time", standin.DefaultFetchTime, "duration of an adapter load without a weight store")
	flags.StringVar(&e.Weights.URL, "weight-store", "", "URL of the weight store that all engines share")
	return cmd
}
