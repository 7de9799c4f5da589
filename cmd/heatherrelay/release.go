package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/spf13/cobra"

	"heatherrelay/internal/objectstore"
	"heatherrelay/internal/publication"
	"heatherrelay/pkg/release"
)

// The output formats of commands.
const (
	outputText = "text"
	outputJSON = "json"
)

// platformFlags holds the flags of commands that call the platform.
type platformFlags struct {
	address string
	output  string
}

func (f *platformFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "platform", "", "address of the platform's object API, as IP:PORT")
	cmd.Flags().StringVar(&f.output, "output", outputText, "output format: text or json")
	if err := cmd.MarkFlagRequired("platform"); err != nil {
		panic(err)
	}
}

// store checks the flags and returns a client of the platform's store.
func (f *platformFlags) store() (objectstore.Store, error) {
	if f.output != outputText && f.output != outputJSON {
		return objectstore.Store{}, invalidInput(errUsage.New("--output: %q is neither text nor json", f.output))
	}
	address, err := netip.ParseAddrPort(f.address)
	if err != nil {
		return objectstore.Store{}, invalidInput(errUsage.New("--platform: %w", err))
	}
	client := &objectstore.Client{Address: address}
	return client.Store(), nil
}

// releaseCommand groups the commands on release notes.
func releaseCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "release",
		Short: "Check release notes, publish them, and show where they are in force",
	}
	cmd.AddCommand(releaseLintCommand(), releasePublishCommand(), releaseStatusCommand())
	return cmd
}

// readNote reads and checks the release note in a file; "-" is the standard input.
func readNote(cmd *cobra.Command, name string) (release.Note, error) {
	if name == "-" {
		return parseNote(cmd.InOrStdin(), name)
	}
	file, err := os.Open(name)
	if err != nil {
		return release.Note{}, invalidInput(err)
	}
	defer func() { _ = file.Close() }()
	return parseNote(file, name)
}

// parseNote reads a release note and checks that it can be stored. name is the name
// of its source in errors.
func parseNote(r io.Reader, name string) (release.Note, error) {
	note, err := release.Parse(r)
	if err == nil {
		_, err = publication.StoredNote{Note: note}.Encode()
	}
	if err != nil {
		return release.Note{}, invalidInput(fmt.Errorf("%s: %w", name, err))
	}
	return note, nil
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
