package instance

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// collected is what the witnesses of an instance have answered.
type collected struct {
	copies []journal.Copy
	// missing tells why there is no copy, and gone is the number of these witnesses that are gone for good.
	missing []string
	gone    int
	cause   Cause
}

// obstacle tells why the closing can't go on; its text is empty if all witnesses have answered.
func (g collected) obstacle() obstacle { return obstacle{g.cause, strings.Join(g.missing, "; ")} }

// fenced reports whether nobody can acknowledge an entry any more: every witness has closed the journal or is gone for
// good.
func (g collected) fenced() bool {
	return len(g.missing) > 0 && len(g.copies) > 0 && len(g.missing) == g.gone
}

// collect closes the journal at all witnesses.
func (c *Closer) collect(ctx context.Context, r Record) collected {
	var got collected
	for _, w := range r.Witnesses {
		content, err := c.witnesses.Close(ctx, w, r.Instance)
		switch {
		case err == nil:
			got.copies = append(got.copies, content)
			continue
		case errors.Is(err, journal.ErrNotWitness):
			got.missing = append(got.missing, fmt.Sprintf("witness %s has restarted and lost its copy", w.Router))
			if got.cause == "" {
				got.cause = WitnessRestarted
			}
		default:
			got.missing = append(got.missing, fmt.Sprintf("witness %s at %s is not reachable", w.Router, w.Address))
			got.cause = WitnessUnreachable
		}
		if c.gone(ctx, w.Router) {
			got.gone++
		}
	}
	return got
}

// gone reports whether a router is known to have ended for good: a newer one runs on its VM, or the platform lists the
// VM as gone. A router that is only unreachable may still acknowledge entries.
func (c *Closer) gone(ctx context.Context, router string) bool {
	for _, m := range c.view.Members() {
		if member.Supersedes(m.Instance, router) {
			return true
		}
	}
	vm := member.VMOf(router)
	vms, err := c.store.VMs(ctx)
	return err == nil && vm != "" && slices.ContainsFunc(vms, func(v platform.VM) bool {
		return v.Name == vm && v.State == platform.VMGone
	})
}
