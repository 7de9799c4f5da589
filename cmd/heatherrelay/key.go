package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"heatherrelay/internal/key"
	"heatherrelay/pkg/release"
)

// keyCommand groups the commands on callers' keys.
func keyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Create keys for callers and operators",
	}
	cmd.AddCommand(keyNewCommand())
	return cmd
}

// createdKey is the JSON output for a new key of a team. Key contains the secret,
// Entry only a hash.
type createdKey struct {
	Key   string      `json:"key"`
	Entry release.Key `json:"entry"`
}

// keyNewCommand creates a key for a team or an operator.
func keyNewCommand() *cobra.Command {
	var team, output string
	var operator bool
	cmd := &cobra.Command{
		Use:   "new {--team TEAM | --operator}",
		Short: "Create a key for a team or an operator",
		Long: `Create a random key. The key is printed once and not stored: give it to its owner.
The text below it contains only a hash: for a team, the entry to add to a release
note; for an operator, the text to add to administration.keys in the settings.`,
		Example: `  heatherrelay key new --team crews
  heatherrelay key new --operator
  heatherrelay key new --team crews --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			k := key.Generate()
			if operator {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s\n\n%s:%s\n", k.Text(), k.ID, k.Hash())
				return err
			}
			entry := release.Key{ID: k.ID, Hash: k.Hash(), Team: team}
			if err := (release.Note{Keys: []release.Key{entry}}).Check(); err != nil {
				return invalidInput(errUsage.New("--team: %w", err))
			}
			if output == outputJSON {
				return printJSON(cmd.OutOrStdout(), createdKey{Key: k.Text(), Entry: entry})
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s\n\n[[keys]]\nid = %q\nhash = %q\nteam = %q\n", k.Text(), entry.ID, entry.Hash, entry.Team)
			return err
		},
	}
	cmd.Flags().StringVar(&team, "team", "", "team that the key belongs to")
	cmd.Flags().StringVar(&output, "output", outputText, "output format: text or json")
	cmd.Flags().BoolVar(&operator, "operator", false, "create a key for an operator, for the administration API")
	cmd.MarkFlagsOneRequired("team", "operator")
	cmd.MarkFlagsMutuallyExclusive("team", "operator")
	return cmd
}
