package claim

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// maxBodyBytes is the largest body of a stored result. Larger bodies are dropped and the result is marked as truncated.
const maxBodyBytes = 4096

// errResultCount means that the ledger violated its contract to return one result for each operation.
var errResultCount = errors.New("claim: number of results differs from number of operations")

// retryOptions returns an exponential backoff without a time limit.
func retryOptions() []backoff.RetryOption {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	return []backoff.RetryOption{backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0)}
}

// newOp returns an operation with a new operation id on the claim with the given id. It includes the result of the
// attempt, if there is one.
func (m *Manager) newOp(kind budget.OpKind, call budget.CallRequest, id string) budget.Op {
	record := &budget.ClaimRecord{Key: call.IdempotencyKey, ID: id, Owner: m.instance, BodyHash: call.BodyHash}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.attempts[id]; a != nil {
		record.Result = a.result
	}
	m.lastID++
	return budget.Op{
		ID: fmt.Sprintf("%s/claim/%d", m.instance, m.lastID), Kind: kind,
		Budget: budget.ID{Organisation: call.Organisation}, Claim: record,
	}
}

// applyOp applies one operation. It returns errResultCount as a permanent error, which is not retried.
func (m *Manager) applyOp(ctx context.Context, op budget.Op) (budget.Result, error) {
	results, err := m.ledger.Apply(ctx, op.Budget.Organisation, []budget.Op{op})
	if err != nil {
		return budget.Result{}, err
	}
	if len(results) != 1 {
		return budget.Result{}, backoff.Permanent(errResultCount)
	}
	return results[0], nil
}

// abandon marks an attempt whose call was not dispatched as abandoned, and releases its claim. It does so even if
// storing the claim failed, because the ledger may have stored it nevertheless.
func (m *Manager) abandon(id string) {
	m.mu.Lock()
	a := m.attempts[id]
	if a == nil || a.state == finished || a.state == abandoned {
		m.mu.Unlock()
		return
	}
	a.state = abandoned
	m.mu.Unlock()
	m.recordAsync(m.newOp(budget.OpClaimRelease, a.call, id), id)
}

// recordAsync stores a result or a release in the background, and removes the attempt once that is durable. It retries
// until then or until the Manager is closed. The returned channel is closed when the record is durable; it stays open
// if the ledger refuses the record or the Manager is closed first.
func (m *Manager) recordAsync(op budget.Op, id string) <-chan struct{} {
	durable := make(chan struct{})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return durable
	}
	m.recordTasks.Go(func() {
		r, err := backoff.Retry(m.ctx, func() (budget.Result, error) { return m.applyOp(m.ctx, op) }, retryOptions()...)
		if err != nil {
			log.WithError(err).WithField("claim", id).Warn("failed to store the result or release of a claim")
			return
		}
		if r.Code != budget.CodeOK {
			log.WithFields(log.Fields{"claim": id, "code": r.Code, "kind": op.Kind}).Warn("ledger refused the result or release of a claim")
			return
		}
		m.removeAttempt(id)
		close(durable)
	})
	return durable
}

func (m *Manager) removeAttempt(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.attempts, id)
}

// Answer returns the state of a claim of this instance, and its result in state Finished, for a query of another
// router. If the claim has no attempt here, or an abandoned one, then its result is durable or its call was not and
// will not be dispatched. Answer releases such a claim; the ledger refuses the release if there is a result.
func (m *Manager) Answer(ctx context.Context, organisation, key, claimID string) (State, *budget.StoredResult, error) {
	if !strings.HasPrefix(claimID, m.instance+"/") {
		return Unknown, nil, nil
	}
	m.mu.Lock()
	a := m.attempts[claimID]
	if a != nil && a.state != abandoned {
		state, result := a.state, a.result
		m.mu.Unlock()
		if state == finished {
			return Finished, result, nil
		}
		return InProgress, nil, nil
	}
	m.mu.Unlock()
	call := budget.CallRequest{Organisation: organisation, IdempotencyKey: key}
	r, err := m.applyOp(ctx, m.newOp(budget.OpClaimRelease, call, claimID))
	if err != nil {
		return Unknown, nil, err
	}
	if r.Code == budget.CodeOK {
		return Released, nil, nil
	}
	if r.Claim != nil && r.Claim.Result != nil {
		return Finished, r.Claim.Result, nil
	}
	return Unknown, nil, nil
}
