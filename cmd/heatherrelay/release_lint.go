package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// releaseLintCommand checks a release note without publishing it.
func releaseLintCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "lint FILE",
		Short: "Check a release note",
		Long: `Check a release note on its own: syntax, unknown fields, types, values, duplicate
entries and its size. All problems are reported at once, each with its path; the
exit code is then 2. FILE may be - for the standard input.`,
		Example: "  heatherrelay release lint spring.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := readNote(cmd, args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", args[0])
			return err
		},
	}
}
