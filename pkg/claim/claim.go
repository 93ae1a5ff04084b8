// Package claim makes non-idempotent calls run at most once. A claim is stored in the ledger before the call is
// dispatched; only its owner dispatches the call. A router that finds a claim of another instance queries that owner
// for the result.
package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc"

	"github.com/lavendershunt/lavendershunt/internal/counter"
	"github.com/lavendershunt/lavendershunt/internal/sleep"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// State is the state of a claim as its owner reports it.
type State int

// States of claims at their owner.
const (
	// Unknown means that the owner gave no usable answer.
	Unknown State = iota
	// InProgress means that the owner may have dispatched the call.
	InProgress
	// Finished means that the owner has the result.
	Finished
	// Released means that the owner did not and will not dispatch the call, and that the claim is released.
	Released
)

// OwnerClient queries the owners of claims.
type OwnerClient interface {
	// Query requests the state of a claim from owner, the instance that made it. In state Finished it also returns the
	// result. An error means that the owner did not answer.
	Query(ctx context.Context, owner, organisation, key, claimID string) (State, *budget.StoredResult, error)
}

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff of ledger operations.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxStoreTime is how long storing a claim is retried before the call is refused.
	maxStoreTime = 2 * time.Second
	// maxUnavailable is how long storing a claim is retried while the platform is unavailable. A person usually waits for
	// the result of a non-idempotent call; with 2 s, many callers gave up before they got the answer that nothing ran.
	maxUnavailable = 400 * time.Millisecond
	// maxResultWait is how long another attempt of a call waits for the result of the attempt that owns the claim.
	maxResultWait = 2 * time.Second
	// queryInterval is the time between two queries of the owner.
	queryInterval = 100 * time.Millisecond
	// maxClaimAttempts is how often Claim tries to claim a call when the claims of other attempts keep being released.
	maxClaimAttempts = 5
	// maxGrantDelay is the longest time between the start of an attempt and the grant of its claim. It is far below the
	// retention of claims in the ledger, so that an attempt that was paused does not use a claim that the ledger has
	// already dropped.
	maxGrantDelay = budget.LongestRequest
	// retryAfter is the retry delay that is suggested to refused callers.
	retryAfter = time.Second
)

// attempt is an attempt of this instance to claim and run a call.
type attempt struct {
	call  budget.CallRequest
	state attemptState
	// startedAt is a wall clock time without a monotonic reading, so that time during which the VM was paused counts.
	startedAt time.Time
	// result is set only in the state finished.
	result *budget.StoredResult
}

type attemptState int

const (
	// storing: the claim is being stored in the ledger and is not granted yet.
	storing attemptState = iota
	// granted: the claim was returned to the relay, which may dispatch the call at any time.
	granted
	// finished: the call has a result, which is not durable yet.
	finished
	// abandoned: the call was not dispatched and will not be; the claim is being released.
	abandoned
)

// Manager implements budget.Claims for one instance and answers queries of other routers about its claims. It keeps
// each attempt until the result or the release of its claim is durable. It is safe for concurrent use.
type Manager struct {
	instance    string
	ledger      budget.Ledger
	owners      OwnerClient
	ctx         context.Context
	cancel      context.CancelFunc
	recordTasks conc.WaitGroup

	mu           sync.Mutex
	closed       bool
	lastID       uint64
	attempts     map[string]*attempt
	resultCounts counter.ByLabel
}

// New returns a Manager. instance is the id under which the router is registered.
func New(instance string, ledger budget.Ledger, owners OwnerClient) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		instance: instance, ledger: ledger, owners: owners, ctx: ctx, cancel: cancel, attempts: map[string]*attempt{},
	}
}

// Close cancels the retries of results and releases that are not durable yet, and waits until they have stopped.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.recordTasks.Wait()
}

// OpenCount returns the number of claims whose result or release is not durable yet.
func (m *Manager) OpenCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.attempts)
}

// Results returns the number of claims by result: granted, repeated (another attempt owns the claim, and the result of
// the call is available), refused, finished and released. A granted claim is counted again when it is finished or
// released.
func (m *Manager) Results() map[string]int64 { return m.resultCounts.Counts() }

// Claim implements budget.Claims.
func (m *Manager) Claim(ctx context.Context, call budget.CallRequest) (budget.Claim, error) {
	c, err := m.claimCall(ctx, call)
	switch {
	case err != nil:
		m.resultCounts.Add("refused")
	case c.Stored != nil:
		m.resultCounts.Add("repeated")
	default:
		m.resultCounts.Add("granted")
	}
	return c, err
}

func (m *Manager) claimCall(ctx context.Context, call budget.CallRequest) (budget.Claim, error) {
	for range maxClaimAttempts {
		id := m.startAttempt(call)
		r, err := m.storeClaim(ctx, call, id)
		switch {
		case err != nil:
			m.abandon(id)
			return budget.Claim{}, outcome.NotRunf(outcome.ReasonClaimUnavailable, retryAfter, "claim was not stored: %v", err)
		case r.Code == budget.CodeOK:
			if !m.grant(ctx, id) {
				return budget.Claim{}, outcome.NotRunf(outcome.ReasonClaimUnavailable, retryAfter, "claim was stored too late")
			}
			return budget.Claim{Call: call, ID: id}, nil
		case r.Code != budget.CodeClaimed || r.Claim == nil:
			m.abandon(id)
			return budget.Claim{}, outcome.NotRunf(outcome.ReasonClaimUnavailable, retryAfter, "claim was refused: %s %s", r.Code, r.Message)
		}
		m.removeAttempt(id)
		c, released, err := m.awaitOtherAttempt(ctx, call, r.Claim)
		if !released {
			return c, err
		}
	}
	return budget.Claim{}, outcome.NotRunf(outcome.ReasonClaimUnavailable, retryAfter, "claim changes hands too often")
}

// startAttempt registers a new attempt and returns the id of its claim. It must be called before the claim is sent to
// the ledger.
func (m *Manager) startAttempt(call budget.CallRequest) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	id := fmt.Sprintf("%s/claim/%d", m.instance, m.lastID)
	m.attempts[id] = &attempt{call: call, startedAt: time.Now().Round(0)}
	return id
}

// storeClaim stores the claim in the ledger. It repeats the same operation until it returns a result, maxStoreTime has
// passed, or ctx ends. While the platform is unavailable, it gives up after maxUnavailable.
func (m *Manager) storeClaim(ctx context.Context, call budget.CallRequest, id string) (budget.Result, error) {
	op := m.newOp(budget.OpClaim, call, id)
	op.ID = id
	started := time.Now()
	return backoff.Retry(ctx, func() (budget.Result, error) {
		result, err := m.applyOp(ctx, op)
		if errors.Is(err, platform.ErrUnavailable) && time.Since(started) > maxUnavailable {
			return result, backoff.Permanent(err)
		}
		return result, err
	}, append(retryOptions(), backoff.WithMaxElapsedTime(maxStoreTime))...)
}

// grant marks a stored claim as granted and reports whether it may be used; otherwise it abandons the attempt. A claim
// is not granted after ctx has ended, because the caller of Claim treats an error of its context as not run.
func (m *Manager) grant(ctx context.Context, id string) bool {
	m.mu.Lock()
	a := m.attempts[id]
	ok := ctx.Err() == nil && a.state == storing && time.Now().Round(0).Sub(a.startedAt) < maxGrantDelay
	if ok {
		a.state = granted
	}
	m.mu.Unlock()
	if !ok {
		m.abandon(id)
	}
	return ok
}

// awaitOtherAttempt waits for the result of another attempt that has claimed the call. released is true if that claim
// was released, so that the call can be claimed again. The error is a NotRun failure if the key was used with another
// body, and an Unknown failure if the owner gives no result.
func (m *Manager) awaitOtherAttempt(ctx context.Context, call budget.CallRequest, record *budget.ClaimRecord) (c budget.Claim, released bool, err error) {
	if record.BodyHash != call.BodyHash {
		return c, false, outcome.NotRunf(outcome.ReasonKeyReused, 0, "idempotency key %q was used with another body", call.IdempotencyKey)
	}
	stored := budget.Claim{Call: call, ID: record.ID, Stored: record.Result}
	if record.Result != nil {
		return stored, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxResultWait)
	defer cancel()
	state := Unknown
	for ctx.Err() == nil {
		var result *budget.StoredResult
		state, result, err = m.queryOwner(ctx, call, record)
		if err == nil && state == Released {
			return c, true, nil
		}
		if err == nil && state == Finished && result != nil {
			stored.Stored = result
			return stored, false, nil
		}
		if err != nil || state != InProgress {
			break
		}
		sleep.For(ctx, queryInterval)
	}
	return c, false, outcome.Unknownf(outcome.ReasonInProgress, retryAfter,
		"instance %s owns the call and gave no result (state %d)", record.Owner, state)
}

// queryOwner returns the state of a recorded claim from its owner, which may be this instance.
func (m *Manager) queryOwner(ctx context.Context, call budget.CallRequest, record *budget.ClaimRecord) (State, *budget.StoredResult, error) {
	if record.Owner == m.instance {
		return m.Answer(ctx, call.Organisation, call.IdempotencyKey, record.ID)
	}
	return m.owners.Query(ctx, record.Owner, call.Organisation, call.IdempotencyKey, record.ID)
}

// Finish implements budget.Claims.
func (m *Manager) Finish(ctx context.Context, c budget.Claim, result budget.StoredResult) error {
	if len(result.Body) > maxBodyBytes {
		result.Body, result.Truncated = nil, true
	}
	m.mu.Lock()
	a := m.attempts[c.ID]
	if a == nil || a.state != granted {
		m.mu.Unlock()
		return outcome.Unknownf(outcome.ReasonClaimUnavailable, 0, "claim %s is not held by this instance", c.ID)
	}
	a.state, a.result = finished, &result
	m.mu.Unlock()
	m.resultCounts.Add("finished")
	durable := m.recordAsync(m.newOp(budget.OpClaimResult, c.Call, c.ID), c.ID)
	select {
	case <-durable:
		return nil
	case <-ctx.Done():
		return outcome.Unknownf(outcome.ReasonClaimUnavailable, 0, "result of claim %s is not durable yet", c.ID)
	}
}

// Release implements budget.Claims.
func (m *Manager) Release(c budget.Claim) {
	m.resultCounts.Add("released")
	m.abandon(c.ID)
}
