package cli

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/lavendershunt/lavendershunt/pkg/load/budgets"
)

// maxRoutersListed is the number of routers that a cell of the table names.
const maxRoutersListed = 3

// showBudgets prints where the tokens of each organisation are, by the logs of a play.
func showBudgets(args []string, stdout, stderr io.Writer) int {
	flags := newFlagSet("budgets", stderr)
	interval := flags.Float64("interval", 1, "`seconds` for each row")
	organisation := flags.String("organisation", "", "show only this `organisation`")
	sum := flags.Bool("sum", false, "add up all organisations")
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return ExitOK
	} else if err != nil || flags.NArg() != 1 || *interval <= 0 {
		fmt.Fprintln(stderr, "lsload budgets: one file of logs and a positive interval are needed")
		return ExitUsage
	}
	file, err := os.Open(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	defer file.Close()
	intervals, err := budgets.Intervals(file, *interval)
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "from\torganisation\tprepaid\tdrawn\tspent\treserved\tfree\tlost\t402\t503\tasked\tfree at\trefused at")
	for _, i := range intervals {
		states := i.Budgets
		if *sum {
			states = []budgets.State{total(states)}
		}
		for _, s := range states {
			if *organisation == "" || s.Organisation == *organisation {
				fmt.Fprintf(table, "%g\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", i.From, s.Organisation, s.Prepaid, s.Drawn, s.Spent, s.Reserved, s.Free, s.Lost,
					s.Exhausted, s.Unavailable, s.AskedTokens, largest(s.FreeAt), largest(s.RefusedAt))
			}
		}
	}
	if err := table.Flush(); err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	return ExitOK
}

func total(states []budgets.State) budgets.State {
	sum := budgets.State{Organisation: "all", FreeAt: map[string]int64{}, RefusedAt: map[string]int{}}
	for _, s := range states {
		sum.Prepaid += s.Prepaid
		sum.Drawn += s.Drawn
		sum.Spent += s.Spent
		sum.Reserved += s.Reserved
		sum.Free += s.Free
		sum.Lost += s.Lost
		sum.Exhausted += s.Exhausted
		sum.Unavailable += s.Unavailable
		sum.AskedTokens += s.AskedTokens
		for vm, n := range s.FreeAt {
			sum.FreeAt[vm] += n
		}
		for vm, n := range s.RefusedAt {
			sum.RefusedAt[vm] += n
		}
	}
	return sum
}

// largest returns the routers with the largest numbers.
func largest[N cmp.Ordered](byVM map[string]N) string {
	vms := slices.SortedFunc(maps.Keys(byVM), func(a, b string) int { return cmp.Or(cmp.Compare(byVM[b], byVM[a]), cmp.Compare(a, b)) })
	var parts []string
	for _, vm := range vms[:min(maxRoutersListed, len(vms))] {
		parts = append(parts, fmt.Sprintf("%s:%v", vm, byVM[vm]))
	}
	return strings.Join(parts, " ")
}
