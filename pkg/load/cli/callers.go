package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/lavendershunt/lavendershunt/pkg/load/callers"
)

// showCallers prints what the callers of each organisation got over time, by the logs of a play.
func showCallers(args []string, stdout, stderr io.Writer) int {
	flags := newFlagSet("callers", stderr)
	interval := flags.Float64("interval", 2, "`seconds` for each row")
	by := flags.String("by", string(callers.ByOrganisation), "`group` requests by organisation, router or route")
	only := flags.String("only", "", "show only this organisation, router or route")
	most := flags.Int("most", 5, "show at most this `number` of groups of an interval")
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return ExitOK
	} else if err != nil || flags.NArg() != 1 || *interval <= 0 || !slices.Contains([]callers.Group{callers.ByOrganisation, callers.ByRouter, callers.ByRoute}, callers.Group(*by)) {
		fmt.Fprintln(stderr, "lsload callers: one file of logs, a positive interval and a known group are needed")
		return ExitUsage
	}
	file, err := os.Open(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	defer file.Close()
	rows, err := callers.Rows(file, callers.Group(*by), *interval)
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "from\t%s\trequests\tserved\tfirst p50 ms\tp95 ms\tnot served\trouters\n", *by)
	shown, from := 0, 0.0
	for _, r := range rows {
		if shown == 0 || r.From != from {
			shown, from = 0, r.From
		}
		if *only != "" && r.Group != *only || *only == "" && shown >= *most {
			continue
		}
		shown++
		fmt.Fprintf(table, "%g\t%s\t%d\t%d\t%d\t%d\t%s\t%s\n", r.From, r.Group, r.Requests, r.Served, r.FirstMS(50), r.FirstMS(95), counts(r.Outcomes, len(r.Outcomes)), counts(r.Routers, maxRoutersShown))
	}
	if err := table.Flush(); err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	return ExitOK
}

// maxRoutersShown is the number of routers that a cell of the table names.
const maxRoutersShown = 3

// counts formats the largest n counts.
func counts(of map[string]int, n int) string {
	names := slices.SortedFunc(maps.Keys(of), func(a, b string) int {
		if of[a] != of[b] {
			return of[b] - of[a]
		}
		return strings.Compare(a, b)
	})
	var text []string
	for _, name := range names[:min(n, len(names))] {
		text = append(text, fmt.Sprintf("%s %d", name, of[name]))
	}
	if rest := len(names) - len(text); rest > 0 {
		text = append(text, fmt.Sprintf("and %d more", rest))
	}
	return strings.Join(text, ", ")
}
