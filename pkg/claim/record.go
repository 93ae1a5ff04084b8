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

// maxBody is the largest body of a stored result in bytes.
const maxBody = 4096

// errResults means that the ledger broke its contract.
var errResults = errors.New("claim: ledger returned another number of results")

func options() []backoff.RetryOption {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, lastRetry
	return []backoff.RetryOption{backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0)}
}

func (k *Manager) op(kind budget.OpKind, call budget.CallRequest, id string) budget.Op {
	record := &budget.ClaimRecord{Key: call.IdempotencyKey, ID: id, Owner: k.instance, BodyHash: call.BodyHash}
	k.mu.Lock()
	defer k.mu.Unlock()
	if a := k.attempts[id]; a != nil {
		record.Result = a.result
	}
	k.last++
	return budget.Op{
		ID: fmt.Sprintf("%s/claim/%d", k.instance, k.last), Kind: kind,
		Budget: budget.ID{Organisation: call.Organisation}, Claim: record,
	}
}

func (k *Manager) apply(ctx context.Context, op budget.Op) (budget.Result, error) {
	results, err := k.ledger.Apply(ctx, op.Budget.Organisation, []budget.Op{op})
	if err != nil {
		return budget.Result{}, err
	}
	if len(results) != 1 {
		return budget.Result{}, backoff.Permanent(errResults)
	}
	return results[0], nil
}

// abandon gives up an attempt that was not dispatched and releases its claim, which may be stored or not.
func (k *Manager) abandon(id string) {
	k.mu.Lock()
	a := k.attempts[id]
	if a == nil || a.state == finished || a.state == abandoned {
		k.mu.Unlock()
		return
	}
	a.state = abandoned
	k.mu.Unlock()
	k.record(k.op(budget.OpClaimRelease, a.call, id), id)
}

// record stores a result or a release, and forgets the attempt when that is durable. It retries until then or until
// the Manager is closed. The channel is closed when the record is durable.
func (k *Manager) record(op budget.Op, id string) <-chan struct{} {
	durable := make(chan struct{})
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return durable
	}
	k.retries.Go(func() {
		r, err := backoff.Retry(k.ctx, func() (budget.Result, error) { return k.apply(k.ctx, op) }, options()...)
		if err != nil {
			log.WithError(err).WithField("claim", id).Warn("record of a claim is not stored")
			return
		}
		if r.Code != budget.CodeOK {
			log.WithFields(log.Fields{"claim": id, "code": r.Code, "kind": op.Kind}).Warn("record of a claim is refused")
			return
		}
		k.drop(id)
		close(durable)
	})
	return durable
}

func (k *Manager) drop(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.attempts, id)
}

// Answer answers another router's question about a claim of this instance. A claim that is not known was never
// handed out, or its result is durable; it is released, which the ledger refuses if there is a result.
func (k *Manager) Answer(ctx context.Context, organisation, key, claimID string) (State, *budget.StoredResult, error) {
	if !strings.HasPrefix(claimID, k.instance+"/") {
		return Unknown, nil, nil
	}
	k.mu.Lock()
	a := k.attempts[claimID]
	if a != nil && a.state != abandoned {
		state, result := a.state, a.result
		k.mu.Unlock()
		if state == finished {
			return Finished, result, nil
		}
		return InProgress, nil, nil
	}
	k.mu.Unlock()
	call := budget.CallRequest{Organisation: organisation, IdempotencyKey: key}
	r, err := k.apply(ctx, k.op(budget.OpClaimRelease, call, claimID))
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
