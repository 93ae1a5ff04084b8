package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/lavendershunt/lavendershunt/pkg/load/prompts"
)

// analysePrompts prints how the prompts of others delayed requests, by the log lines of a fleet.
func analysePrompts(args []string, stdout, stderr io.Writer) int {
	flags := newFlagSet("prompts", stderr)
	long := flags.Int("long", 4000, "uncached `tokens` from which a prompt counts as long")
	if code, ok := parseFlags(flags, args, stderr, 1); !ok {
		return code
	}
	file, err := os.Open(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitUsage
	}
	defer file.Close()
	requests, err := prompts.Read(file)
	if err != nil {
		fmt.Fprintln(stderr, "lsload:", err)
		return ExitFailed
	}
	prompts.Analyse(requests, *long).Write(stdout)
	return ExitOK
}
