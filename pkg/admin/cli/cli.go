// Package cli implements the operator command lsctl.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/lavendershunt/lavendershunt/api/ls/admin/v1/adminv1connect"
)

// Exit codes of lsctl.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitDenied      = 6
	// ExitUncertain means that the change may have taken effect.
	ExitUncertain = 7
)

const (
	// KeyVariable is the environment variable that holds the operator key.
	KeyVariable = "LSCTL_KEY"
	// AdminVariable is the environment variable that holds the admin address.
	AdminVariable  = "LSCTL_ADMIN"
	defaultAdmin   = "127.0.0.1:8082"
	defaultTimeout = 10 * time.Second
)

// command is one command of lsctl.
type command struct {
	// path holds the words that select the command.
	path string
	// operand names the positional argument; empty if there is none.
	operand string
	// optional is set if the operand may be omitted.
	optional bool
	help     string
	// local commands don't call the admin API and need no operator key.
	local bool
	// setup declares the flags and returns the function that runs the command.
	setup func(*flag.FlagSet) runFunc
}

type runFunc func(ctx context.Context, c *call) (result, error)

// call is one execution of a command.
type call struct {
	client  adminv1connect.AdminServiceClient
	operand string
	// setFlags holds the names of the flags that were given.
	setFlags map[string]bool
	now      time.Time
	format   ConfigFormat
	// exit is the exit code of a command that ends without an error.
	exit int
}

// result is the output of a command.
type result struct {
	// value is printed as JSON with -json.
	value any
	// text is printed without -json.
	text string
}

// usageError is an error in the command line.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// Env is the environment of a run: its outputs, environment variables, HTTP client, clock and the platform's configurations.
type Env struct {
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	HTTP           connect.HTTPClient
	Now            func() time.Time
	Format         ConfigFormat
}

// Main runs lsctl in the environment of the process and returns the exit code.
func Main(ctx context.Context, args []string, format ConfigFormat) int {
	return Run(ctx, args, Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, HTTP: http.DefaultClient, Now: time.Now, Format: format})
}

// Run executes one command line, given without the program name, and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	cmd, rest := findCommand(args)
	if cmd == nil {
		return runWithoutCommand(args, env)
	}
	flags := flag.NewFlagSet("lsctl "+cmd.path, flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	var admin, keyFile string
	if !cmd.local {
		flags.StringVar(&admin, "admin", orDefault(env.Getenv(AdminVariable), defaultAdmin), "admin `address` of any entry VM (or "+AdminVariable+")")
		flags.StringVar(&keyFile, "key-file", "", "`file` with the operator key (default: the variable "+KeyVariable+")")
	}
	asJSON := flags.Bool("json", false, "print JSON")
	timeout := flags.Duration("timeout", defaultTimeout, "longest time to wait for the answer")
	run := cmd.setup(flags)
	flags.Usage = func() { printUsage(env.Stderr, cmd, flags) }

	operand, rest := splitOperand(cmd, rest)
	if err := flags.Parse(rest); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	if err := checkOperand(cmd, operand, flags.Args()); err != nil {
		return printError(env, *asJSON, err)
	}
	c := &call{operand: operand, setFlags: map[string]bool{}, now: env.Now(), format: env.Format}
	if !cmd.local {
		client, err := newClient(env, admin, keyFile)
		if err != nil {
			return printError(env, *asJSON, err)
		}
		c.client = client
	}
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	flags.Visit(func(f *flag.Flag) { c.setFlags[f.Name] = true })
	out, err := run(ctx, c)
	if err != nil {
		return printError(env, *asJSON, err)
	}
	return printResult(env, *asJSON, out, c.exit)
}

// findCommand returns the command with the longest path that matches the first arguments, and the remaining arguments.
// The command is nil if none matches.
func findCommand(args []string) (*command, []string) {
	for words := min(len(args), 2); words > 0; words-- {
		path := strings.Join(args[:words], " ")
		i := slices.IndexFunc(commands, func(c command) bool { return c.path == path })
		if i >= 0 {
			return &commands[i], args[words:]
		}
	}
	return nil, args
}

// splitOperand returns the operand, or "" if none is given before the flags, and the remaining arguments.
func splitOperand(cmd *command, args []string) (string, []string) {
	if cmd.operand != "" && len(args) > 0 && !strings.HasPrefix(args[0], "-") {
		return args[0], args[1:]
	}
	return "", args
}

func checkOperand(cmd *command, operand string, extra []string) error {
	if cmd.operand != "" && operand == "" && !cmd.optional {
		return usagef("%s: <%s> is required; it comes before the flags", cmd.path, cmd.operand)
	}
	if len(extra) > 0 {
		return usagef("%s: unexpected argument %q", cmd.path, extra[0])
	}
	return nil
}

func newClient(env Env, admin, keyFile string) (adminv1connect.AdminServiceClient, error) {
	key := env.Getenv(KeyVariable)
	if keyFile != "" {
		data, err := os.ReadFile(keyFile)
		if err != nil {
			return nil, usagef("-key-file: %v", err)
		}
		key = string(data)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return nil, usagef("no operator key: set %s or give -key-file", KeyVariable)
	}
	addKey := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, req)
		}
	})
	return adminv1connect.NewAdminServiceClient(env.HTTP, "http://"+admin, connect.WithInterceptors(addKey)), nil
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
