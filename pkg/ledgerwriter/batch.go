package ledgerwriter

import (
	"context"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
)

// submission is one call that waits for its operations to be stored.
type submission struct {
	ctx   context.Context
	ops   []budget.Op
	class class
	// done takes exactly one reply.
	done    chan reply
	results []budget.Result
}

type reply struct {
	results []budget.Result
	err     error
}

func newSubmission(ctx context.Context, ops []budget.Op) *submission {
	s := &submission{ctx: ctx, ops: ops, class: classRest, done: make(chan reply, 1)}
	for _, op := range ops {
		s.class = min(s.class, classOf(op.Kind))
	}
	return s
}

func classOf(kind budget.OpKind) class {
	switch kind {
	case budget.OpSettle, budget.OpCloseHolder:
		return classSettle
	case budget.OpGrant, budget.OpTransfer:
		return classGrant
	default:
		return classRest
	}
}

// batch is the submissions of one write.
type batch struct {
	submissions []*submission
	// applied is the number of submissions whose operations are in the cached state.
	applied int
	ops     int
	issuers map[string]int
}

// fits reports whether the submission can be part of the batch, and counts it if so.
func (b *batch) fits(s *submission) bool {
	if b.ops+len(s.ops) > maxBatch && b.ops > 0 {
		return false
	}
	if b.issuers == nil {
		b.issuers = map[string]int{}
	}
	counts := map[string]int{}
	for _, op := range s.ops {
		if i := strings.LastIndexByte(op.ID, '/'); i >= 0 {
			counts[op.ID[:i]]++
		}
	}
	for issuer, n := range counts {
		if b.issuers[issuer]+n > MaxOps {
			return false
		}
	}
	for issuer, n := range counts {
		b.issuers[issuer] += n
	}
	b.ops += len(s.ops)
	return true
}

func (b *batch) empty() bool { return len(b.submissions) == 0 }

// apply applies what the state does not contain yet.
func (b *batch) apply(state *ledger.Shard, now time.Time) {
	for ; b.applied < len(b.submissions); b.applied++ {
		s := b.submissions[b.applied]
		s.results = make([]budget.Result, len(s.ops))
		for i, op := range s.ops {
			s.results[i] = state.Apply(now, op)
		}
	}
}

func (b *batch) answer() {
	for _, s := range b.submissions {
		s.done <- reply{results: s.results}
	}
}

func (b *batch) fail(err error) {
	for _, s := range b.submissions {
		s.done <- reply{err: err}
	}
}
