package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"heatherrelay/internal/configcheck"
	"heatherrelay/platform"
)

// storeTimeout bounds the reading of the version in force from the store.
const storeTimeout = 5 * time.Second

// againstStore is the value of --against that stands for the version in the store.
const againstStore = "store"

// configurationCommand groups the commands on the operator's configuration.
func configurationCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "configuration",
		Short: "Check the configuration of routes, services and teams before it is sent",
	}
	c.AddCommand(configurationCheckCommand())
	return c
}

// configurationCheck holds the flags of the check.
type configurationCheck struct {
	against, store, format string
}

// configurationCheckCommand checks a configuration, and compares it with another version.
func configurationCheckCommand() *cobra.Command {
	var check configurationCheck
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration, and say what it changes",
		Long: `Check a configuration before it is sent: syntax, types and unknown fields, entries that
can never match, limits that contradict each other, and what differs by meaning from the
version in force. The exit code is 0 if nothing is wrong, 1 if there are findings, and 2 if
a file or the store cannot be read. Differences alone are no findings.`,
		Example: "  heatherrelay configuration check next.json --against store --store 10.0.0.9:8225",
		Args:    exactlyOneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			return check.run(cmd.Context(), args[0], cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&check.against, "against", "", `file with the version in force, or "store"`)
	c.Flags().StringVar(&check.store, "store", "", "address of the store, such as 10.0.0.9:8225")
	c.Flags().StringVar(&check.format, "format", "text", "text or json")
	return c
}

func (k *configurationCheck) run(ctx context.Context, path string, out io.Writer) error {
	if k.format != "text" && k.format != "json" {
		return invalidInput(errUsage.New("--format must be text or json, not %q", k.format))
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return invalidInput(err)
	}
	report := configcheck.Report{File: path, Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
	draft, findings := platform.DecodeDraft(data)
	report.Findings = append(report.Findings, findings...)
	if draft != nil {
		if err := k.checkDraft(ctx, draft, &report); err != nil {
			return invalidInput(err)
		}
	}
	if err := k.write(&report, out); err != nil {
		return err
	}
	switch {
	case draft == nil:
		return invalidInput(fmt.Errorf("%s is no configuration", path))
	case len(report.Findings) > 0:
		return fmt.Errorf("%s: %d findings", path, len(report.Findings))
	}
	return nil
}

// checkDraft adds what is wrong with a configuration that could be decoded.
func (k *configurationCheck) checkDraft(ctx context.Context, draft *configcheck.Draft, report *configcheck.Report) error {
	inForce, err := k.versionInForce(ctx, draft)
	if err != nil {
		return err
	}
	report.Findings = append(report.Findings, draft.Check()...)
	if inForce != nil {
		changes, findings := draft.Compare(inForce)
		report.Compared = true
		report.Changes, report.Findings = append(report.Changes, changes...), append(report.Findings, findings...)
	}
	return nil
}

// versionInForce returns what the draft is to be compared with, nil if nothing. From the
// store it also learns the targets of the services.
func (k *configurationCheck) versionInForce(ctx context.Context, draft *configcheck.Draft) (*configcheck.Draft, error) {
	var data []byte
	var err error
	switch k.against {
	case "":
		return nil, nil
	case againstStore:
		data, err = k.readStore(ctx, draft)
	default:
		data, err = os.ReadFile(k.against)
	}
	if err != nil {
		return nil, err
	}
	inForce, findings := platform.DecodeDraft(data)
	if inForce == nil {
		return nil, fmt.Errorf("the version in force is no configuration: line %d, column %d: %s", findings[0].Line, findings[0].Column, findings[0].Message)
	}
	return inForce, nil
}

// readStore returns the configuration in the store, and sets the targets of the draft.
func (k *configurationCheck) readStore(ctx context.Context, draft *configcheck.Draft) ([]byte, error) {
	address, err := netip.ParseAddrPort(k.store)
	if err != nil {
		return nil, errUsage.New("--against store needs --store: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	client := &platform.StoreClient{Address: address}
	object, err := client.Get(ctx, platform.KindConfig, platform.ConfigName)
	if err != nil {
		return nil, err
	}
	page, err := client.List(ctx, platform.KindTargets, false)
	if err != nil {
		return nil, err
	}
	draft.Targets = map[string]int{}
	for _, o := range page.Objects {
		// An entry that cannot be decoded is no target that requests can be sent to.
		if t, err := platform.DecodeTarget(o.Name, o.Value); err == nil {
			draft.Targets[t.Service]++
		}
	}
	return object.Value, nil
}

func (k *configurationCheck) write(report *configcheck.Report, out io.Writer) error {
	if k.format == "json" {
		return report.WriteJSON(out)
	}
	return report.WriteText(out)
}
