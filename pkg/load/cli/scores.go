package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/lavendershunt/lavendershunt/pkg/load/scores"
)

// compareScores prints the newest score of each site beside the one of the commit before it. It returns ExitBroken if a
// day broke a rule, missed the gate or fell by more than the noise.
func compareScores(args []string, stdout, stderr io.Writer) int {
	flags := newFlagSet("scores", stderr)
	journal := flags.String("journal", "journal", "`directory` of the bench's journal")
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return ExitOK
	} else if err != nil {
		return ExitUsage
	}
	if flags.NArg() == 0 {
		fmt.Fprintln(stderr, "lsload scores: no site is given")
		return ExitUsage
	}
	all, err := scores.Read(*journal)
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	code := ExitOK
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	for _, site := range flags.Args() {
		latest, before, err := scores.Latest(all, site)
		if err != nil {
			fmt.Fprintln(stderr, "lsload:", err)
			code = max(code, ExitFailed)
			continue
		}
		against := "no earlier score"
		if before != nil {
			against = fmt.Sprintf("%s (%.7s)", before.ID, before.Head)
		}
		fmt.Fprintf(table, "%s\t%s (%.7s)\tagainst %s\tdays %d\tmean worth %.3f\n", site, latest.ID, latest.Head, against, len(latest.Days), latest.MeanWorth())
		for _, f := range scores.Compare(latest, before) {
			fmt.Fprintf(table, "  %s\t%s\n", f.Day, f.Text)
			code = max(code, ExitBroken)
		}
	}
	if err := table.Flush(); err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	return code
}
