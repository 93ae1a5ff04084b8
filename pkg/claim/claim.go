// Package claim makes non-idempotent calls run at most once. A claim is stored in the ledger before the call is
// dispatched; only its owner dispatches the call. Another router that meets the claim asks the owner.
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

// State is what the owner of a claim knows about it.
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

// OwnerClient asks the owners of claims.
type OwnerClient interface {
	// Query asks the instance about its claim. An error means that it gave no answer.
	Query(ctx context.Context, owner, organisation, key, claimID string) (State, *budget.StoredResult, error)
}

// Bounds of the retries and of the waiting for an owner.
const (
	firstRetry = 50 * time.Millisecond
	lastRetry  = 5 * time.Second
	// maxStore is how long the storing of a claim is retried before the call is refused.
	maxStore = 2 * time.Second
	// maxUnavailable is how long it is retried while the platform is unavailable. Callers of non-idempotent calls wait
	// with someone on the line; with 2 s, many gave up before they were told that nothing ran.
	maxUnavailable = 400 * time.Millisecond
	// maxWait is how long a second attempt waits for the result of the first one.
	maxWait = 2 * time.Second
	// askInterval is the time between two questions to the owner.
	askInterval = 100 * time.Millisecond
	// maxTries bounds the attempts to take over claims that are released.
	maxTries = 5
	// maxHandOut is the longest time between the start of a claim and its use. It is far below the retention of
	// claims, so that an attempt that was paused does not use a claim that the ledger has dropped.
	maxHandOut = budget.LongestRequest
	// retryAfter is the advice to callers that are refused.
	retryAfter = time.Second
)

// attempt is a claim that this instance made.
type attempt struct {
	call  budget.CallRequest
	state attemptState
	// began is the wall clock time of the start, which also counts the time in which the VM was paused.
	began time.Time
	// result is set in the state finished.
	result *budget.StoredResult
}

type attemptState int

const (
	// storing: the claim is being stored and was not handed out.
	storing attemptState = iota
	// handedOut: the relay may dispatch the call at any time.
	handedOut
	// finished: the call has a result that is not durable yet.
	finished
	// abandoned: the claim will not be handed out and is being released.
	abandoned
)

// Manager implements budget.Claims for one instance and answers other routers' questions about its claims. A claim
// stays known until its result or its release is durable.
type Manager struct {
	instance string
	ledger   budget.Ledger
	owners   OwnerClient
	ctx      context.Context
	cancel   context.CancelFunc
	retries  conc.WaitGroup

	mu       sync.Mutex
	closed   bool
	last     uint64
	attempts map[string]*attempt
	results  counter.ByLabel
}

// New returns a Manager. The instance is the id under which the router registered.
func New(instance string, ledger budget.Ledger, owners OwnerClient) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	return &Manager{
		instance: instance, ledger: ledger, owners: owners, ctx: ctx, cancel: cancel, attempts: map[string]*attempt{},
	}
}

// Close ends the retries of results and releases that are not durable yet, and waits for them.
func (k *Manager) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.retries.Wait()
}

// Open returns the number of claims whose result or release is not durable yet.
func (k *Manager) Open() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.attempts)
}

// Results returns the number of claims by result: granted, repeated (another attempt had claimed the call and its
// result is known), refused, finished and released. A claim that was granted is later finished or released.
func (k *Manager) Results() map[string]int64 { return k.results.Counts() }

// Claim implements budget.Claims.
func (k *Manager) Claim(ctx context.Context, call budget.CallRequest) (budget.Claim, error) {
	c, err := k.claim(ctx, call)
	switch {
	case err != nil:
		k.results.Add("refused")
	case c.Stored != nil:
		k.results.Add("repeated")
	default:
		k.results.Add("granted")
	}
	return c, err
}

func (k *Manager) claim(ctx context.Context, call budget.CallRequest) (budget.Claim, error) {
	for range maxTries {
		id := k.begin(call)
		r, err := k.store(ctx, call, id)
		switch {
		case err != nil:
			k.abandon(id)
			return budget.Claim{}, outcome.NotRunf(outcome.ReasonClaimUnavailable, retryAfter, "claim was not stored: %v", err)
		case r.Code == budget.CodeOK:
			if !k.handOut(ctx, id) {
				return budget.Claim{}, outcome.NotRunf(outcome.ReasonClaimUnavailable, retryAfter, "claim was stored too late")
			}
			return budget.Claim{Call: call, ID: id}, nil
		case r.Code != budget.CodeClaimed || r.Claim == nil:
			k.abandon(id)
			return budget.Claim{}, outcome.NotRunf(outcome.ReasonClaimUnavailable, retryAfter, "claim was refused: %s %s", r.Code, r.Message)
		}
		k.drop(id)
		c, again, err := k.other(ctx, call, r.Claim)
		if !again {
			return c, err
		}
	}
	return budget.Claim{}, outcome.NotRunf(outcome.ReasonClaimUnavailable, retryAfter, "claim changes hands too often")
}

// begin registers a new attempt before anything is sent.
func (k *Manager) begin(call budget.CallRequest) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last++
	id := fmt.Sprintf("%s/claim/%d", k.instance, k.last)
	k.attempts[id] = &attempt{call: call, began: time.Now().Round(0)}
	return id
}

// store stores the claim. It repeats the same operation until its result is known, maxStore
// has passed or ctx ends.
func (k *Manager) store(ctx context.Context, call budget.CallRequest, id string) (budget.Result, error) {
	op := k.op(budget.OpClaim, call, id)
	op.ID = id
	started := time.Now()
	return backoff.Retry(ctx, func() (budget.Result, error) {
		result, err := k.apply(ctx, op)
		if errors.Is(err, platform.ErrUnavailable) && time.Since(started) > maxUnavailable {
			return result, backoff.Permanent(err)
		}
		return result, err
	}, append(options(), backoff.WithMaxElapsedTime(maxStore))...)
}

// handOut reports whether the stored claim may be used. The caller's time must not be over, because the caller of
// Claim treats an error of its context as not run.
func (k *Manager) handOut(ctx context.Context, id string) bool {
	k.mu.Lock()
	a := k.attempts[id]
	ok := ctx.Err() == nil && a.state == storing && time.Now().Round(0).Sub(a.began) < maxHandOut
	if ok {
		a.state = handedOut
	}
	k.mu.Unlock()
	if !ok {
		k.abandon(id)
	}
	return ok
}

// other handles a call that another attempt has claimed. again reports that the claim was released and may be taken.
func (k *Manager) other(ctx context.Context, call budget.CallRequest, record *budget.ClaimRecord) (c budget.Claim, again bool, err error) {
	if record.BodyHash != call.BodyHash {
		return c, false, outcome.NotRunf(outcome.ReasonKeyReused, 0, "idempotency key %q was used with another body", call.IdempotencyKey)
	}
	stored := budget.Claim{Call: call, ID: record.ID, Stored: record.Result}
	if record.Result != nil {
		return stored, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	state := Unknown
	for ctx.Err() == nil {
		var result *budget.StoredResult
		state, result, err = k.ask(ctx, call, record)
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
		sleep.For(ctx, askInterval)
	}
	return c, false, outcome.Unknownf(outcome.ReasonInProgress, retryAfter,
		"instance %s owns the call and gave no result (state %d)", record.Owner, state)
}

func (k *Manager) ask(ctx context.Context, call budget.CallRequest, record *budget.ClaimRecord) (State, *budget.StoredResult, error) {
	if record.Owner == k.instance {
		return k.Answer(ctx, call.Organisation, call.IdempotencyKey, record.ID)
	}
	return k.owners.Query(ctx, record.Owner, call.Organisation, call.IdempotencyKey, record.ID)
}

// Finish implements budget.Claims.
func (k *Manager) Finish(ctx context.Context, c budget.Claim, result budget.StoredResult) error {
	if len(result.Body) > maxBody {
		result.Body, result.Truncated = nil, true
	}
	k.mu.Lock()
	a := k.attempts[c.ID]
	if a == nil || a.state != handedOut {
		k.mu.Unlock()
		return outcome.Unknownf(outcome.ReasonClaimUnavailable, 0, "claim %s is not held by this instance", c.ID)
	}
	a.state, a.result = finished, &result
	k.mu.Unlock()
	k.results.Add("finished")
	durable := k.record(k.op(budget.OpClaimResult, c.Call, c.ID), c.ID)
	select {
	case <-durable:
		return nil
	case <-ctx.Done():
		return outcome.Unknownf(outcome.ReasonClaimUnavailable, 0, "result of claim %s is not durable yet", c.ID)
	}
}

// Release implements budget.Claims.
func (k *Manager) Release(c budget.Claim) {
	k.results.Add("released")
	k.abandon(c.ID)
}
