package relay

import (
	"context"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
)

const (
	// suspectPause is the wait before a suspect asks again for an endpoint without another suspect.
	suspectPause = 200 * time.Millisecond
	// maxSuspectPauses bounds the waits of one request.
	maxSuspectPauses = 50
)

func (c *chatRun) fingerprint() poison.Fingerprint {
	return poison.Fingerprint{Organisation: c.chat.Organisation.ID, BodyHash: c.chat.Fingerprint}
}

// checkCrashes updates whether the request is a suspect, and returns a failure if it was stopped.
func (c *chatRun) checkCrashes() *outcome.Failure {
	status := c.Crashes.Status(c.fingerprint())
	c.suspect = status == poison.Suspect
	if status == poison.Stopped {
		return poison.StopFailure(c.sent)
	}
	return nil
}

// isolate takes the right to run a suspect at the endpoint.
func (c *chatRun) isolate(ctx context.Context, target Target) (release func(), ok bool) {
	if !c.suspect {
		return func() {}, true
	}
	return c.Crashes.Isolate(ctx, c.fingerprint(), target.VM)
}

// completed clears a suspect.
func (c *chatRun) completed() {
	if c.suspect {
		c.Crashes.ReportCompleted(c.fingerprint())
	}
}

// pauseSuspect waits and reports whether the request may go on.
func (c *chatRun) pauseSuspect(ctx context.Context) bool {
	c.pauses++
	if c.pauses > maxSuspectPauses {
		return false
	}
	c.tried = nil
	return sleep.For(ctx, suspectPause)
}
