package cli

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
)

// runWithoutCommand handles a command line that selects no command: it prints the commands and returns the exit code.
func runWithoutCommand(args []string, env Env) int {
	help := len(args) > 0 && slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0])
	if help {
		listCommands(env.Stdout, "")
		return ExitOK
	}
	if len(args) > 0 {
		fmt.Fprintf(env.Stderr, "lsctl: unknown command %q\n\n", strings.Join(args[:min(2, len(args))], " "))
		listCommands(env.Stderr, args[0])
	} else {
		listCommands(env.Stderr, "")
	}
	return ExitUsage
}

// listCommands prints the commands that begin with the given word, or all commands if none does.
func listCommands(w io.Writer, word string) {
	matching := slices.DeleteFunc(slices.Clone(commands), func(c command) bool {
		return !strings.HasPrefix(c.path+" ", word+" ")
	})
	if len(matching) == 0 {
		matching = commands
	}
	fmt.Fprintln(w, "usage: lsctl <command> [operand] [flags]; 'lsctl <command> -h' shows the flags")
	rows := make([][]string, 0, len(matching))
	for _, c := range matching {
		rows = append(rows, []string{"  " + synopsis(&c), c.help})
	}
	fmt.Fprint(w, formatTable(nil, rows))
	fmt.Fprintln(w, "exit codes: 0 done, 1 failed, 2 usage, 3 conflict, 4 not found, 5 unavailable, 6 not permitted, 7 uncertain")
}

func synopsis(c *command) string {
	if c.operand == "" {
		return c.path
	}
	if c.optional {
		return c.path + " [" + c.operand + "]"
	}
	return c.path + " <" + c.operand + ">"
}

func printUsage(w io.Writer, cmd *command, flags *flag.FlagSet) {
	fmt.Fprintf(w, "usage: lsctl %s [flags]\n%s\n", synopsis(cmd), cmd.help)
	flags.PrintDefaults()
}

// printResult prints the output of a command and returns the exit code, which is exit unless printing fails.
func printResult(env Env, asJSON bool, out result, exit int) int {
	if !asJSON {
		fmt.Fprintln(env.Stdout, strings.TrimRight(out.text, "\n"))
		return exit
	}
	data, err := json.MarshalIndent(out.value, "", "  ")
	if err != nil {
		return printError(env, true, err)
	}
	fmt.Fprintln(env.Stdout, string(data))
	return exit
}

// failure describes an error as printed with -json.
type failure struct {
	Code     string  `json:"code"`
	Exit     int     `json:"exit"`
	Message  string  `json:"message"`
	Conflict bool    `json:"conflict,omitempty"`
	Current  *object `json:"current,omitempty"`
}

// printError prints an error and returns its exit code.
func printError(env Env, asJSON bool, err error) int {
	f := failureOf(err)
	if asJSON {
		data, _ := json.MarshalIndent(map[string]failure{"error": f}, "", "  ")
		fmt.Fprintln(env.Stderr, string(data))
		return f.Exit
	}
	fmt.Fprintf(env.Stderr, "lsctl: %s\n", f.Message)
	switch {
	case f.Current != nil:
		fmt.Fprintf(env.Stderr, "current value at revision %d: %s\nRead it, then repeat the change with -if-revision %d.\n", f.Current.Revision, f.Current.Value, f.Current.Revision)
	case f.Conflict:
		fmt.Fprintln(env.Stderr, "The object does not exist.")
	}
	return f.Exit
}

func failureOf(err error) failure {
	var usageErr usageError
	if errors.As(err, &usageErr) {
		return failure{Code: "usage", Exit: ExitUsage, Message: err.Error()}
	}
	f := failure{Code: connect.CodeOf(err).String(), Exit: ExitFailed, Message: err.Error()}
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		f.Message = connectErr.Message()
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		f.Exit = ExitUsage
	case connect.CodeAborted, connect.CodeAlreadyExists:
		f.Exit = ExitConflict
		f.Current, f.Conflict = conflictOf(connectErr)
	case connect.CodeNotFound:
		f.Exit = ExitNotFound
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeResourceExhausted:
		f.Exit = ExitUnavailable
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		f.Exit = ExitDenied
	case connect.CodeUnknown:
		f.Exit = ExitUncertain
	}
	return f
}

// conflictOf returns the current object in the details of a conflict, nil if the object does not exist, and whether the
// error has such a detail.
func conflictOf(err *connect.Error) (*object, bool) {
	for _, detail := range err.Details() {
		value, valueErr := detail.Value()
		if conflict, ok := value.(*adminv1.Conflict); ok && valueErr == nil {
			if conflict.GetCurrent() == nil {
				return nil, true
			}
			current := objectOf(conflict.GetCurrent())
			return &current, true
		}
	}
	return nil, false
}

// formatTable returns the rows as text with aligned columns; the header may be nil.
func formatTable(header []string, rows [][]string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	if header != nil {
		fmt.Fprintln(w, strings.Join(header, "\t"))
	}
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
	return b.String()
}
