package main

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"heatherrelay/internal/standin"
)

// loadCommand generates model requests and prints the results as JSON.
func loadCommand() *cobra.Command {
	var keyFile string
	l := &standin.LoadGenerator{}
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send model requests at random times and check each complete response",
		Example: "  standin load --url http://127.0.0.1:8080 --key-file key.txt --model verges@1 --rate 200 --duration 10s\n" +
			"  standin load --url http://127.0.0.1:7001 --model verges@1   # directly to an engine",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if keyFile != "" {
				text, err := os.ReadFile(keyFile)
				if err != nil {
					return err
				}
				l.Key = strings.TrimSpace(string(text))
			}
			out := json.NewEncoder(cmd.OutOrStdout())
			out.SetIndent("", "  ")
			return out.Encode(l.Run(cmd.Context()))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&l.URL, "url", "", "base URL of an instance or an engine")
	flags.StringVar(&keyFile, "key-file", "", "file with the caller's key")
	flags.StringSliceVar(&l.Models, "model", nil, "adapters as name@version, the most requested first")
	flags.Float64Var(&l.Rate, "rate", 50, "requests per second")
	flags.DurationVar(&l.Duration, "duration", 10*time.Second, "how long requests are sent")
	flags.IntVar(&l.MaxTokens, "max-tokens", 16, "max_tokens of each request")
	flags.IntVar(&l.PromptBytes, "prompt-bytes", 256, "length of each prompt in bytes")
	flags.BoolVar(&l.Stream, "stream", true, "request streamed responses")
	flags.IntVar(&l.MaxInFlight, "max-in-flight", 1000, "maximum number of requests in flight; requests beyond it are counted but not sent")
	flags.Uint64Var(&l.Seed, "seed", 1, "seed for request times, models and prompts")
	for _, name := range []string{"url", "model"} {
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	return cmd
}
