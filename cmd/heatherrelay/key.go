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
		Short: "Make callers' keys",
	}
	cmd.AddCommand(keyNewCommand())
	return cmd
}

// newKey is a new key as JSON. It holds the secret.
type newKey struct {
	Key   string      `json:"key"`
	Entry release.Key `json:"entry"`
}

// keyNewCommand makes a key for a team.
func keyNewCommand() *cobra.Command {
	var team, output string
	var operator bool
	cmd := &cobra.Command{
		Use:   "new {--team TEAM | --operator}",
		Short: "Make a key for a team or an operator",
		Long: `Make a random key. The key itself is shown this once and kept nowhere: give it to
its owner. What stands below it holds only a hash: for a team the entry of a release
note, for an operator the text for administration.keys in the settings.`,
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
				return invalid(errUsage.New("--team: %w", err))
			}
			if output == outputJSON {
				return printJSON(cmd.OutOrStdout(), newKey{Key: k.Text(), Entry: entry})
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s\n\n[[keys]]\nid = %q\nhash = %q\nteam = %q\n", k.Text(), entry.ID, entry.Hash, entry.Team)
			return err
		},
	}
	cmd.Flags().StringVar(&team, "team", "", "the team that the key belongs to")
	cmd.Flags().StringVar(&output, "output", outputText, "form of the result: text or json")
	cmd.Flags().BoolVar(&operator, "operator", false, "make a key of an operator, for the administration API")
	cmd.MarkFlagsOneRequired("team", "operator")
	cmd.MarkFlagsMutuallyExclusive("team", "operator")
	return cmd
}
