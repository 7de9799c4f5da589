package main

import (
	"github.com/spf13/cobra"

	"heatherrelay/internal/standin"
)

// platformCommand runs a stand-in for the platform: its object API, lists of
// instances and targets, and weight store.
func platformCommand() *cobra.Command {
	var address string
	var faults standin.PlatformFaults
	p := &standin.Platform{}
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a stand-in for the platform: object API, lists of instances and targets, weight store",
		Example: "  standin platform --listen 127.0.0.1:7000 --list-lag 500ms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p.SetFaults(faults)
			return serve(cmd, address, p.Start)
		},
	}
	flags := cmd.Flags()
	listenFlag(cmd, &address)
	flags.DurationVar(&p.ListLag, "list-lag", 0, "delay until a change to a list is visible")
	flags.DurationVar(&p.Weights.FetchTime, "load-time", standin.DefaultFetchTime, "duration of a fetch from the weight store")
	flags.BoolVar(&faults.Outage, "outage", false, "answer 503 to every call")
	flags.IntVar(&faults.DelayMS, "delay-ms", 0, "delay of every call in milliseconds")
	flags.IntVar(&faults.LoseAnswers, "lose-answers", 0, "number of writes that take effect but whose responses are lost; -1 for all")
	flags.Float64Var(&faults.ReadLimit, "read-limit", standin.DefaultReadLimit, "maximum reads per second")
	flags.Float64Var(&faults.WriteLimit, "write-limit", standin.DefaultWriteLimit, "maximum writes per second")
	return cmd
}
