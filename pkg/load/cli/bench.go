package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/load/bench"
	"github.com/lavendershunt/lavendershunt/pkg/load/fleet"
	"github.com/lavendershunt/lavendershunt/pkg/load/report"
)

func runRouterBench(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlagSet("router-bench", stderr)
	path := flags.String("fleet", "", "fleet `file`; the load goes to its first router, and its last engine is the slow one")
	out := flags.String("out", "out", "`directory` for router-bench.json")
	asJSON := flags.Bool("json", false, "print the result as JSON")
	var o bench.Options
	flags.IntVar(&o.Connections, "connections", 128, "connections that send as fast as they can")
	flags.DurationVar(&o.Duration, "duration", 8*time.Second, "time of each phase")
	flags.Float64Var(&o.Rate, "rate", 0, "requests per second for the added delay; 0 means half of the throughput")
	flags.IntVar(&o.Streams, "streams", 2000, "open streams for the memory of each")
	flags.StringVar(&o.Model, "model", "demo", "model of the instant engines")
	flags.StringVar(&o.SlowModel, "slow-model", "slow", "model of the engine that keeps streams open")
	flags.IntVar(&o.PromptTokens, "prompt-tokens", 100, "tokens of a prompt")
	flags.IntVar(&o.OutputTokens, "output-tokens", 16, "output limit of a request that is not streamed")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	if code, ok := parseFlags(flags, args, stderr, 0); !ok {
		return code
	}
	f, err := fleet.Load(*path)
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitUsage
	}
	result, err := bench.Run(ctx, f, o)
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	if *asJSON {
		result.WriteJSON(stdout)
	} else {
		result.WriteTable(stdout)
	}
	if err := writeBenchResult(result, filepath.Join(*out, "router-bench.json")); err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	if !result.WriteGoals(stderr) {
		return ExitFailed
	}
	return ExitOK
}

func writeBenchResult(result bench.Result, path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	result.WriteJSON(file)
	return file.Close()
}

// compareRuns prints the differences between two summaries and returns ExitBroken if a number got worse.
func compareRuns(args []string, stdout, stderr io.Writer) int {
	flags := newFlagSet("compare", stderr)
	tolerance := flags.Float64("tolerance", 0.2, "relative growth of a latency that counts as worse")
	if code, ok := parseFlags(flags, args, stderr, 2); !ok {
		return code
	}
	var summaries [2]report.Summary
	for i := range summaries {
		if err := report.ReadSummary(flags.Arg(i), &summaries[i]); err != nil {
			fmt.Fprintln(stderr, "lsload:", err)
			return ExitUsage
		}
	}
	rows := report.Compare(&summaries[0], &summaries[1], *tolerance)
	if report.WriteComparison(stdout, rows) > 0 {
		return ExitBroken
	}
	return ExitOK
}
