package relay

import (
	"context"
	"time"

	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/poison"
)

const (
	// suspectPause is the wait before a suspect tries again to get an endpoint without another suspect.
	suspectPause = 200 * time.Millisecond
	// maxSuspectPauses bounds the waits of one request.
	maxSuspectPauses = 50
)

func (c *chatRun) fingerprint() poison.Fingerprint {
	return poison.Fingerprint{Organisation: c.chat.Organisation.ID, BodyHash: c.chat.Fingerprint}
}

// checkCrashRecords updates whether the request is a suspect, and returns a failure if the request is stopped.
func (c *chatRun) checkCrashRecords() *outcome.Failure {
	status := c.Crashes.Status(c.fingerprint())
	c.suspect = status == poison.Suspect
	if status == poison.Stopped {
		return poison.StopFailure(c.mayHaveRun)
	}
	return nil
}

// isolate acquires the right to run the request at the endpoint if it is a suspect; see CrashRecords.Isolate.
func (c *chatRun) isolate(ctx context.Context, target Target) (release func(), ok bool) {
	if !c.suspect {
		return func() {}, true
	}
	return c.Crashes.Isolate(ctx, c.fingerprint(), target.VM)
}

// clearSuspect reports a suspect that has run to its end.
func (c *chatRun) clearSuspect() {
	if c.suspect {
		c.Crashes.ReportCompleted(c.fingerprint())
	}
}

// pauseSuspect waits and reports whether another attempt is allowed.
func (c *chatRun) pauseSuspect(ctx context.Context) bool {
	c.suspectPauses++
	if c.suspectPauses > maxSuspectPauses {
		return false
	}
	c.triedVMs = nil
	return sleep.For(ctx, suspectPause)
}
