package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"heatherrelay/internal/settings"
)

// configCommand groups the commands on the settings of instances.
func configCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "config",
		Short: "Check and document the settings of instances",
	}
	c.AddCommand(configCheckCommand(), configShowDefaultsCommand(), configReferenceCommand())
	return c
}

// configCheckCommand reports all problems of a settings file.
func configCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and report all its problems; the exit code is 2 if there are any",
		Example: "  heatherrelay config check silom-1.toml",
		Args:    exactlyOneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return invalidInput(err)
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: settings are valid\n", args[0])
			return err
		},
	}
}

// configShowDefaultsCommand prints every setting with its default.
func configShowDefaultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show-defaults",
		Short:   "Print all settings with their defaults, as TOML with comments",
		Example: "  heatherrelay config show-defaults > silom-1.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := settings.Marshal(settings.Defaults())
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
}

// configReferenceCommand prints a table of all settings.
func configReferenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "reference",
		Short:   "Print all settings with their defaults and meanings, as a Markdown table",
		Example: "  heatherrelay config reference",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(cmd.OutOrStdout(), settings.Markdown())
			return err
		},
	}
}

// exactlyOneFile checks that a command has one argument; otherwise the exit code is
// exitInvalidInput.
func exactlyOneFile(cmd *cobra.Command, args []string) error {
	if err := cobra.ExactArgs(1)(cmd, args); err != nil {
		return invalidInput(err)
	}
	return nil
}
