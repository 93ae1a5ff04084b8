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

// witnessAnswers are the results of closing the journal of an instance at its witnesses.
type witnessAnswers struct {
	copies []journal.Copy
	// missingReasons holds a reason for each witness without a copy, and endedCount is the number of these witnesses that
	// have ended for good.
	missingReasons []string
	endedCount     int
	cause          Cause
}

// holdReason returns why the instance can't be closed; its text is empty if all witnesses have returned their copies.
func (a witnessAnswers) holdReason() holdReason {
	return holdReason{a.cause, strings.Join(a.missingReasons, "; ")}
}

// isFenced reports whether copies are missing but no witness can acknowledge an entry any more: every witness has
// closed the journal or has ended for good, and at least one has returned its copy.
func (a witnessAnswers) isFenced() bool {
	return len(a.missingReasons) > 0 && len(a.copies) > 0 && len(a.missingReasons) == a.endedCount
}

// collectCopies closes the journal at all witnesses and collects their copies.
func (c *Closer) collectCopies(ctx context.Context, r Record) witnessAnswers {
	var answers witnessAnswers
	for _, w := range r.Witnesses {
		content, err := c.witnesses.Close(ctx, w, r.Instance)
		switch {
		case err == nil:
			answers.copies = append(answers.copies, content)
			continue
		case errors.Is(err, journal.ErrNotWitness):
			answers.missingReasons = append(answers.missingReasons, fmt.Sprintf("witness %s has restarted and lost its copy", w.Router))
			if answers.cause == "" {
				answers.cause = WitnessRestarted
			}
		default:
			answers.missingReasons = append(answers.missingReasons, fmt.Sprintf("witness %s at %s is not reachable", w.Router, w.Address))
			answers.cause = WitnessUnreachable
		}
		if c.hasEnded(ctx, w.Router) {
			answers.endedCount++
		}
	}
	return answers
}

// hasEnded reports whether a router instance has certainly ended: a newer one runs on its VM, or the platform lists the
// VM as gone. A router that is only unreachable may still acknowledge entries.
func (c *Closer) hasEnded(ctx context.Context, router string) bool {
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
