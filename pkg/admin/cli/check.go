package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"

	"connectrpc.com/connect"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/configcheck"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
)

// Exit codes of check, besides ExitOK.
const (
	ExitWarnings = 1
	ExitErrors   = 2
)

// ConfigFormat reads configurations in the format of a platform.
type ConfigFormat struct {
	// Decode decodes a configuration without validating it. Its errors are those of the routers.
	Decode func(value []byte) (catalog.Config, error)
	// Read returns the configuration in the store at an address. Its errors are those of pkg/platform.
	Read func(ctx context.Context, address string) ([]byte, error)
	// Retry returns the retry budget in the settings of a VM.
	Retry func(settings []byte) (retry.Limits, error)
	// Field returns the format's name of a field of pkg/catalog.
	Field func(string) string
	// HeaderBytes is the largest head that a router accepts under any configuration.
	HeaderBytes int
}

// checkReport is the output of check.
type checkReport struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
	// InForce is the version compared with; nil without -store and -against, and if the store has no configuration.
	InForce    *uint64 `json:"version_in_force,omitempty"`
	storeEmpty bool
	Errors     int                   `json:"errors"`
	Warnings   int                   `json:"warnings"`
	Findings   []configcheck.Finding `json:"findings"`
	Changes    []configcheck.Change  `json:"changes"`
}

func checkConfig(flags *flag.FlagSet) runFunc {
	address := flags.String("store", "", "`address` of the store whose configuration is in force")
	against := flags.String("against", "", "`file` with the configuration in force")
	memory := flags.Int64("memory-mb", 0, "memory of the smallest VM in `MB`")
	tokens := flags.Int64("request-tokens", 1, "`tokens` of one request, for prepaid totals")
	settings := flags.String("settings", "", "settings `file` of a VM, for the retry budget")
	routers := flags.Int("routers", 1, "number of `routers` that share the retry budget")
	return func(ctx context.Context, c *call) (result, error) {
		if *address != "" && *against != "" {
			return result{}, usagef("check: give -store or -against, not both")
		}
		bounds := configcheck.Bounds{HeaderBytes: c.format.HeaderBytes, MemoryBytes: *memory << 20, RequestTokens: *tokens, Routers: *routers}
		if *settings != "" {
			limits, err := readRetry(c.format, *settings)
			if err != nil {
				return result{}, err
			}
			bounds.Retry = &limits
		}
		data, err := os.ReadFile(c.operand)
		if err != nil {
			return result{}, usagef("check: %v", err)
		}
		report := checkReport{File: c.operand, Changes: []configcheck.Change{}}
		next, err := c.format.Decode(data)
		problems, decoded := decodeProblems(err)
		if !decoded {
			report.Findings = []configcheck.Finding{decodeFinding(data, err)}
			return report.result(c), nil
		}
		report.Version, report.Findings = next.Version, configcheck.Review(next, problems, bounds)
		inForce, found, err := readInForce(ctx, c.format, *address, *against)
		if err != nil {
			return result{}, err
		}
		report.storeEmpty = *address != "" && !found
		if found {
			var findings []configcheck.Finding
			report.InForce = &inForce.Version
			report.Changes, findings = configcheck.Compare(inForce, next)
			report.Findings = configcheck.SortFindings(append(report.Findings, findings...))
		}
		return report.result(c), nil
	}
}

func readRetry(format ConfigFormat, path string) (retry.Limits, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return retry.Limits{}, usagef("-settings: %v", err)
	}
	limits, err := format.Retry(data)
	if err != nil {
		return retry.Limits{}, usagef("-settings: %v", err)
	}
	return limits, nil
}

// readInForce returns the configuration to compare with, and false if there is none.
func readInForce(ctx context.Context, format ConfigFormat, address, path string) (catalog.Config, bool, error) {
	var data []byte
	var err error
	switch {
	case address != "":
		data, err = format.Read(ctx, address)
		if errors.Is(err, platform.ErrNotFound) {
			return catalog.Config{}, false, nil
		}
		if err != nil {
			return catalog.Config{}, false, connect.NewError(connect.CodeUnavailable, fmt.Errorf("-store: %w", err))
		}
	case path != "":
		if data, err = os.ReadFile(path); err != nil {
			return catalog.Config{}, false, usagef("-against: %v", err)
		}
	default:
		return catalog.Config{}, false, nil
	}
	config, err := format.Decode(data)
	if _, decoded := decodeProblems(err); !decoded {
		return catalog.Config{}, false, usagef("the configuration in force can't be decoded: %v", err)
	}
	return config, true, nil
}

// decodeProblems returns the problems in a decoder's error, and false if nothing was decoded.
func decodeProblems(err error) (catalog.Problems, bool) {
	var problems catalog.Problems
	return problems, err == nil || errors.As(err, &problems)
}

// decodeFinding describes the error of a file that is not a configuration in JSON.
func decodeFinding(data []byte, err error) configcheck.Finding {
	f := configcheck.Finding{Severity: configcheck.Error, Entry: "file", Text: err.Error()}
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	offset := int64(-1)
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset, f.Field = typeErr.Offset, typeErr.Field
	}
	if offset >= 0 {
		before := data[:min(int(offset), len(data))]
		f.Entry = fmt.Sprintf("line %d, byte %d", bytes.Count(before, []byte("\n"))+1, len(before)-bytes.LastIndexByte(before, '\n')-1)
	}
	return f
}

// result names fields as the format does and sets the exit code of the call.
func (r checkReport) result(call *call) result {
	format := call.format
	rows := [][]string{}
	if r.Findings == nil {
		r.Findings = []configcheck.Finding{}
	}
	for i := range r.Findings {
		f := &r.Findings[i]
		f.Field = format.Field(f.Field)
		if f.Severity == configcheck.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
		rows = append(rows, []string{string(f.Severity), f.Entry, f.Field, f.Text})
	}
	text := fmt.Sprintf("%s: version %d, %d errors, %d warnings\n", r.File, r.Version, r.Errors, r.Warnings)
	if len(rows) > 0 {
		text += formatTable([]string{"SEVERITY", "ENTRY", "FIELD", "FINDING"}, rows)
	}
	switch {
	case r.InForce != nil:
		text += fmt.Sprintf("%d changes to version %d in force, in fields that routers read\n", len(r.Changes), *r.InForce)
	case r.storeEmpty:
		text += "the store has no configuration to compare with\n"
	}
	rows = nil
	for i := range r.Changes {
		c := &r.Changes[i]
		c.Field = format.Field(c.Field)
		rows = append(rows, []string{c.Action, c.Entry, c.Field, c.Before, c.After})
	}
	if len(rows) > 0 {
		text += formatTable([]string{"CHANGE", "ENTRY", "FIELD", "BEFORE", "AFTER"}, rows)
	}
	switch {
	case r.Errors > 0:
		call.exit = ExitErrors
	case r.Warnings > 0:
		call.exit = ExitWarnings
	}
	return result{r, text}
}
