package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
	"github.com/lavendershunt/lavendershunt/pkg/config"
)

// object is a configuration object as printed.
type object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

func objectOf(o *adminv1.Object) object {
	return object{Kind: o.GetKind(), Name: o.GetName(), Revision: o.GetRevision(), Value: o.GetValue()}
}

func (o object) text() string {
	return fmt.Sprintf("%s %s revision %d\n%s", o.Kind, o.Name, o.Revision, o.Value)
}

func getObject(ctx context.Context, c *call, kind config.Kind, name string) (object, error) {
	response, err := c.client.GetObject(ctx, connect.NewRequest(&adminv1.GetObjectRequest{Kind: string(kind), Name: name}))
	if err != nil {
		return object{}, err
	}
	return objectOf(response.Msg.GetObject()), nil
}

func putObject(ctx context.Context, c *call, kind config.Kind, name string, value any, revision uint64) (object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return object{}, err
	}
	request := &adminv1.PutObjectRequest{Object: &adminv1.Object{Kind: string(kind), Name: name, Revision: revision, Value: data}}
	response, err := c.client.PutObject(ctx, connect.NewRequest(request))
	if err != nil {
		return object{}, err
	}
	return objectOf(response.Msg.GetObject()), nil
}

// revisionFlag declares the flag -if-revision.
func revisionFlag(flags *flag.FlagSet) *uint64 {
	return flags.Uint64("if-revision", 0, "make the change only if the object still has this `revision` (default: the revision read just before)")
}

// getCommand returns the command that shows one object.
func getCommand(kind config.Kind, operand string) command {
	return command{path: string(kind) + " get", operand: operand, help: "show the " + kindLabel(kind) + " with its revision",
		setup: func(*flag.FlagSet) runFunc {
			return func(ctx context.Context, c *call) (result, error) {
				o, err := getObject(ctx, c, kind, c.operand)
				return result{o, o.text()}, err
			}
		}}
}

// listCommand returns the command that lists the objects of a kind.
func listCommand(kind config.Kind) command {
	return command{path: string(kind) + " list", help: "list each " + kindLabel(kind) + " known to the router",
		setup: func(*flag.FlagSet) runFunc {
			return func(ctx context.Context, c *call) (result, error) {
				response, err := c.client.ListObjects(ctx, connect.NewRequest(&adminv1.ListObjectsRequest{Kind: string(kind)}))
				if err != nil {
					return result{}, err
				}
				objects := []object{}
				var rows [][]string
				for _, o := range response.Msg.GetObjects() {
					objects = append(objects, objectOf(o))
					rows = append(rows, []string{o.GetName(), fmt.Sprint(o.GetRevision()), string(o.GetValue())})
				}
				return result{objects, formatTable([]string{"NAME", "REVISION", "VALUE"}, rows)}, nil
			}
		}}
}

// deleteCommand returns the command that deletes an object.
func deleteCommand(kind config.Kind, operand string) command {
	return command{path: string(kind) + " delete", operand: operand, help: "delete the " + kindLabel(kind),
		setup: func(flags *flag.FlagSet) runFunc {
			revision := revisionFlag(flags)
			return func(ctx context.Context, c *call) (result, error) {
				if !c.setFlags["if-revision"] {
					o, err := getObject(ctx, c, kind, c.operand)
					if err != nil {
						return result{}, err
					}
					*revision = o.Revision
				}
				request := &adminv1.DeleteObjectRequest{Kind: string(kind), Name: c.operand, Revision: *revision}
				_, err := c.client.DeleteObject(ctx, connect.NewRequest(request))
				deleted := map[string]any{"kind": kind, "name": c.operand, "deleted_revision": *revision}
				return result{deleted, fmt.Sprintf("%s %s deleted", kind, c.operand)}, err
			}
		}}
}

// editor declares the flags of a kind and returns a function that sets those fields of a value whose flags were given.
type editor[T any] func(*flag.FlagSet) func(c *call, value *T) error

// createCommand returns the command that creates an object.
func createCommand[T any](kind config.Kind, operand, help string, edit editor[T]) command {
	return command{path: string(kind) + " create", operand: operand, help: help,
		setup: func(flags *flag.FlagSet) runFunc {
			apply := edit(flags)
			return func(ctx context.Context, c *call) (result, error) {
				var value T
				if err := apply(c, &value); err != nil {
					return result{}, err
				}
				o, err := putObject(ctx, c, kind, c.operand, value, 0)
				return result{o, o.text()}, err
			}
		}}
}

// changeCommand returns the command that changes the fields whose flags are given.
func changeCommand[T any](kind config.Kind, operand string, edit editor[T]) command {
	return command{path: string(kind) + " change", operand: operand, help: "change the fields whose flags are given",
		setup: func(flags *flag.FlagSet) runFunc {
			revision := revisionFlag(flags)
			apply := edit(flags)
			return func(ctx context.Context, c *call) (result, error) {
				o, err := changeObject(ctx, c, kind, c.operand, *revision, apply)
				return result{o, o.text()}, err
			}
		}}
}

// changeObject reads an object, edits it and writes it back. With -if-revision, an object at another revision is a
// conflict: editing a newer value than the operator has seen would hide the other change.
func changeObject[T any](ctx context.Context, c *call, kind config.Kind, name string, revision uint64, apply func(*call, *T) error) (object, error) {
	current, err := getObject(ctx, c, kind, name)
	if err != nil {
		return object{}, err
	}
	var value T
	if err := json.Unmarshal(current.Value, &value); err != nil {
		return object{}, fmt.Errorf("%s %s: %w", kind, name, err)
	}
	if err := apply(c, &value); err != nil {
		return object{}, err
	}
	if !c.setFlags["if-revision"] {
		revision = current.Revision
	}
	return putObject(ctx, c, kind, name, value, revision)
}

// kindLabel returns the name of a kind in help texts.
func kindLabel(kind config.Kind) string {
	if kind == config.KindVM {
		return "mark of a VM"
	}
	return string(kind)
}

func isNotFound(err error) bool { return connect.CodeOf(err) == connect.CodeNotFound }

func editClass(flags *flag.FlagSet) func(*call, *config.Class) error {
	target := flags.String("target", "", "`whole` (the whole answer, however long) or deadline (the reply within -deadline)")
	deadline := flags.Duration("deadline", 0, "time from arrival to the last byte of the reply, such as 20s")
	tokens := flags.Int("max-output-tokens", 1024, "largest output limit of a request, in tokens")
	nonIdempotent := flags.Bool("non-idempotent", false, "calls must not be repeated")
	return func(c *call, class *config.Class) error {
		created := class.Name == ""
		class.Name = c.operand
		if created && !c.setFlags["target"] {
			return usagef("class create: -target is required: whole or deadline")
		}
		if c.setFlags["target"] {
			class.Target = config.TargetKind(*target)
			if class.Target == config.TargetWhole {
				class.DeadlineMS = 0
			}
		}
		if c.setFlags["deadline"] {
			class.DeadlineMS = int(*deadline / time.Millisecond)
		}
		if created || c.setFlags["max-output-tokens"] {
			class.MaxOutputTokens = *tokens
		}
		if c.setFlags["non-idempotent"] {
			class.NonIdempotent = *nonIdempotent
		}
		return nil
	}
}

func editOrganisation(flags *flag.FlagSet) func(*call, *config.Organisation) error {
	class := flags.String("default-class", "", "`class` of requests that name none")
	limit := flags.Int("max-in-flight", 0, "limit of requests in progress at one router; 0 means no limit")
	return func(c *call, o *config.Organisation) error {
		o.ID = c.operand
		if c.setFlags["default-class"] {
			o.DefaultClass = *class
		}
		if c.setFlags["max-in-flight"] {
			o.MaxInFlight = *limit
		}
		return nil
	}
}
