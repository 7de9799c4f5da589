package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

// defaultPublishTimeout is the default of --timeout.
const defaultPublishTimeout = 30 * time.Second

// releasePublishCommand publishes a release note and prints its number.
func releasePublishCommand() *cobra.Command {
	var flags platformFlags
	var resume string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a release note and print its number",
		Long: `Publish a release note. Once the number is printed the note is accepted: it will
be in force on all instances, and publication cannot be undone. "release status"
shows where it is in force.

Responses of the platform can be lost. The command then reads back whether the note
was accepted, and retries until it knows. If it cannot find out within the timeout,
it fails and prints a value for --resume: run the command again with that value to
complete the publication; without it the note might be published twice.`,
		Example: `  heatherrelay release publish spring.toml --platform 127.0.0.1:7400
  heatherrelay release publish spring.toml --platform 127.0.0.1:7400 --output json
  heatherrelay release publish spring.toml --platform 127.0.0.1:7400 --resume 7d9f...@18`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			note, err := readNote(cmd, args[0])
			if err != nil {
				return err
			}
			store, err := flags.store()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			attempt, err := publish(ctx, publication.Publisher{Store: store}, note, resume)
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printJSON(cmd.OutOrStdout(), attempt)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), attempt.Number)
			return err
		},
	}
	flags.register(cmd)
	cmd.Flags().StringVar(&resume, "resume", "", "complete an earlier publication of the same note with an unknown outcome, as ID@NUMBER")
	cmd.Flags().DurationVar(&timeout, "timeout", defaultPublishTimeout, "maximum time to publish, including retries")
	return cmd
}

// publish publishes a note, or completes the publication that resume names.
func publish(ctx context.Context, p publication.Publisher, note release.Note, resume string) (publication.Attempt, error) {
	if resume == "" {
		attempt, err := p.Publish(ctx, note)
		return attempt, withResume(attempt, err)
	}
	id, numberText, _ := strings.Cut(resume, "@")
	number, err := strconv.ParseUint(numberText, 10, 64)
	if err != nil || id == "" || number == 0 {
		return publication.Attempt{}, invalidInput(errUsage.New("--resume: want ID@NUMBER, have %q", resume))
	}
	attempt, err := p.Resume(ctx, publication.Attempt{PublishID: id, Number: number}, note)
	return attempt, withResume(attempt, err)
}

// withResume adds the value for --resume to an error that leaves the outcome unknown.
func withResume(attempt publication.Attempt, err error) error {
	if publication.ErrUncertain.Has(err) {
		return fmt.Errorf("%w\nrun the command again with --resume %s@%d", err, attempt.PublishID, attempt.Number)
	}
	return err
}
