package main

import (
	"github.com/spf13/cobra"

	"heatherrelay/internal/standin"
)

// platformCommand runs the platform: object API, lists and weight store.
func platformCommand() *cobra.Command {
	var address string
	var faults standin.PlatformFaults
	p := &standin.Platform{}
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a platform: object API, lists and weight store",
		Example: "  standin platform --listen 127.0.0.1:7000 --list-lag 500ms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p.SetFaults(faults)
			return serve(cmd, address, p.Start)
		},
	}
	flags := cmd.Flags()
	listenFlag(cmd, &address)
	flags.DurationVar(&p.ListLag, "list-lag", 0, "time until a change of a list is seen")
	flags.DurationVar(&p.Weights.FetchTime, "load-time", standin.DefaultFetchTime, "time of a fetch from the weight store")
	flags.BoolVar(&faults.Outage, "outage", false, "answer 503 to every call")
	flags.IntVar(&faults.DelayMS, "delay-ms", 0, "delay of every call")
	flags.IntVar(&faults.LoseAnswers, "lose-answers", 0, "number of writes whose answers are lost; -1 loses all")
	flags.Float64Var(&faults.ReadLimit, "read-limit", standin.DefaultReadLimit, "reads a second")
	flags.Float64Var(&faults.WriteLimit, "write-limit", standin.DefaultWriteLimit, "writes a second")
	return cmd
}
