// Package cli implements the command lsload, which sends load to a fleet on loopback, injects faults and counts broken
// invariants.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/report"
	"github.com/lavendershunt/lavendershunt/pkg/load/run"
	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
)

// Exit codes of lsload.
const (
	ExitOK = 0
	// ExitBroken means that an invariant was broken, or that a number got worse between two compared runs.
	ExitBroken = 1
	ExitUsage  = 2
	ExitFailed = 3
)

const usageText = `lsload sends load to a fleet on loopback, injects faults and counts broken invariants.

  lsload run -fleet FILE -scenario FILE [-out DIR] [-seed N] [-rate X] [-json]
  lsload wait -fleet FILE                   wait until each router has the configuration
  lsload check -scenario FILE               check a scenario file
  lsload compare A.json B.json              show what got worse from A to B
  lsload scores [-journal DIR] SITE...      show which days of the newest scores got worse
  lsload prompts [-long N] FILE             how long prompts delay other requests, by the routers' log lines in FILE
  lsload callers [-interval S] [-by organisation|router|route] [-only NAME] [-most N] LOG
                                            show what callers got, by the routers' logs
  lsload budgets [-interval S] [-organisation NAME] [-sum] LOG
                                            show where the tokens of each budget are, by the routers' logs
  lsload router-bench [-h]                  measure one router with instant engines
`

// Main runs lsload with the arguments after the command name and returns the exit code. SIGINT and SIGTERM end the run.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if len(args) == 0 {
		fmt.Fprint(stderr, usageText)
		return ExitUsage
	}
	switch args[0] {
	case "run":
		return runScenario(ctx, args[1:], stdout, stderr)
	case "wait":
		return waitReady(ctx, args[1:], stderr)
	case "compare":
		return compareRuns(args[1:], stdout, stderr)
	case "scores":
		return compareScores(args[1:], stdout, stderr)
	case "prompts":
		return analysePrompts(args[1:], stdout, stderr)
	case "callers":
		return showCallers(args[1:], stdout, stderr)
	case "budgets":
		return showBudgets(args[1:], stdout, stderr)
	case "router-bench":
		return runRouterBench(ctx, args[1:], stdout, stderr)
	case "check":
		return checkScenario(args[1:], stdout, stderr)
	case "-h", "-help", "--help", "help":
		fmt.Fprint(stdout, usageText)
		return ExitOK
	}
	fmt.Fprintf(stderr, "lsload: unknown command %q\n\n%s", args[0], usageText)
	return ExitUsage
}

func newFlagSet(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("lsload "+name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}

// parseFlags parses args, which must have the given number of operands after the flags. If the command must exit, because
// of an error or a request for help, it returns the exit code and false.
func parseFlags(flags *flag.FlagSet, args []string, stderr io.Writer, operands int) (int, bool) {
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK, false
	case err != nil:
		return ExitUsage, false
	case flags.NArg() != operands:
		fmt.Fprintf(stderr, "%s: %d operands are given, %d expected\n", flags.Name(), flags.NArg(), operands)
		return ExitUsage, false
	}
	return ExitOK, true
}

func checkScenario(args []string, stdout, stderr io.Writer) int {
	flags := newFlagSet("check", stderr)
	path := flags.String("scenario", "", "scenario `file`")
	if code, ok := parseFlags(flags, args, stderr, 0); !ok {
		return code
	}
	if _, err := scenario.Load(*path); err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitUsage
	}
	fmt.Fprintln(stdout, "the scenario is valid")
	return ExitOK
}

func runScenario(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlagSet("run", stderr)
	fleetPath := flags.String("fleet", "", "fleet `file`")
	scenarioPath := flags.String("scenario", "", "scenario `file`")
	out := flags.String("out", "out", "`directory` for summary.json and the plot")
	seed := flags.Uint64("seed", 0, "`seed` instead of the scenario's")
	rate := flags.Float64("rate", 0, "`factor` on the rates of all mixes instead of the scenario's")
	asJSON := flags.Bool("json", false, "print the summary as JSON")
	trace := flags.String("trace", "", "`file` for all requests with their attempts, one JSON object a line")
	if code, ok := parseFlags(flags, args, stderr, 0); !ok {
		return code
	}
	f, err := fleet.Load(*fleetPath)
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitUsage
	}
	s, err := scenario.Load(*scenarioPath)
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitUsage
	}
	if *seed != 0 {
		s.Seed = *seed
	}
	if *rate != 0 {
		s.Rate = *rate
	}
	runner, err := run.New(f, s)
	if err == nil {
		err = s.Validate()
	}
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitUsage
	}
	stopProgress := showProgress(stderr, runner)
	summary, requests := runner.Run(ctx)
	stopProgress()
	if err := summary.Write(filepath.Join(*out, "summary.json")); err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	if err := report.WritePlot(summary, requests, filepath.Join(*out, s.Name+".png")); err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
	}
	if *trace != "" {
		if err := report.WriteTrace(requests, *trace); err != nil {
			fmt.Fprintln(stderr, "lsload:", err)
		}
	}
	if *asJSON {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(summary)
	} else {
		summary.WriteTable(stdout)
	}
	if ctx.Err() != nil {
		fmt.Fprintln(stderr, "lsload: interrupted")
		return ExitFailed
	}
	if len(summary.Broken) > 0 {
		return ExitBroken
	}
	return ExitOK
}

// isTerminal reports whether the writer is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
