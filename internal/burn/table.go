package burn

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report as a text table for a terminal.
func WriteTable(out io.Writer, r Report) error {
	if err := writeInstances(out, r); err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "TEAM\tCLASS\tOBJECTIVE\tPROMISED\t5M\t1H\t6H\t3D\tBUDGET LEFT\tLOOK\tWHY (1H)")
	for _, row := range r.Rows {
		cells := []string{row.Team, string(row.Class), string(row.Objective), percent(row.PromisedShare)}
		for _, w := range row.Windows {
			cells = append(cells, rateText(w))
		}
		cells = append(cells, percent(row.BudgetLeft), string(row.Urgency), reasonsText(row.Reasons))
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, fastestText(r))
	return err
}

// writeInstances writes how many instances were read, and each that was not.
func writeInstances(out io.Writer, r Report) error {
	read := 0
	for _, i := range r.Instances {
		if i.Error == "" {
			read++
		}
	}
	if _, err := fmt.Fprintf(out, "%s: %d of %d instances read, counts go back %s at most\n",
		r.At.UTC().Format("2006-01-02 15:04:05 MST"), read, len(r.Instances), secondsText(r.CoveredSeconds)); err != nil {
		return err
	}
	for _, i := range r.Instances {
		if i.Error == "" {
			continue
		}
		if _, err := fmt.Fprintf(out, "not read: %s (%s, %s): %s\n", i.Instance, i.Zone, i.Address, i.Error); err != nil {
			return err
		}
	}
	return nil
}

func fastestText(r Report) string {
	if r.Fastest < 0 {
		return "no objective burns"
	}
	row := r.Rows[r.Fastest]
	text := fmt.Sprintf("burns fastest: %s %s %s", row.Team, row.Class, row.Objective)
	if len(row.Reasons) > 0 {
		text += ", mostly " + row.Reasons[0].Code
	}
	return text
}

// rateText formats a burn rate: "-" without events, "?" if the rate is unknown, and
// "inf" if the objective allows no bad events.
func rateText(w WindowBurn) string {
	switch {
	case w.Unknown:
		return "?"
	case w.Good+w.Bad == 0:
		return "-"
	case w.BurnRate == math.MaxFloat64:
		return "inf"
	}
	return fmt.Sprintf("%.2f", w.BurnRate)
}

func secondsText(seconds float64) string {
	return (time.Duration(seconds) * time.Second).String()
}

func percent(share float64) string { return fmt.Sprintf("%.4g%%", share*100) }

func reasonsText(reasons []Reason) string {
	var parts []string
	for _, reason := range reasons {
		parts = append(parts, fmt.Sprintf("%s %.0f", reason.Code, reason.Count))
	}
	return strings.Join(parts, ", ")
}
