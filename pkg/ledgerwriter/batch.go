package ledgerwriter

import (
	"context"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/ledger"
)

// submission is one call of Apply whose operations are to be stored.
type submission struct {
	ctx   context.Context
	ops   []budget.Op
	class class
	// done receives exactly one reply.
	done    chan reply
	results []budget.Result
}

type reply struct {
	results []budget.Result
	err     error
}

func newSubmission(ctx context.Context, ops []budget.Op) *submission {
	s := &submission{ctx: ctx, ops: ops, class: classOther, done: make(chan reply, 1)}
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
		return classOther
	}
}

// batch holds the submissions of one write.
type batch struct {
	submissions []*submission
	// applied is the number of submissions whose operations the cached shard contains.
	applied     int
	opCount     int
	opsByIssuer map[string]int
}

// reserveRoom reports whether the submission fits into the batch, and counts its operations if so. At most MaxOps
// operations of one issuer fit; the issuer is the part of an operation id before the last slash.
func (b *batch) reserveRoom(s *submission) bool {
	if b.opCount+len(s.ops) > maxBatch && b.opCount > 0 {
		return false
	}
	if b.opsByIssuer == nil {
		b.opsByIssuer = map[string]int{}
	}
	counts := map[string]int{}
	for _, op := range s.ops {
		if i := strings.LastIndexByte(op.ID, '/'); i >= 0 {
			counts[op.ID[:i]]++
		}
	}
	for issuer, n := range counts {
		if b.opsByIssuer[issuer]+n > MaxOps {
			return false
		}
	}
	for issuer, n := range counts {
		b.opsByIssuer[issuer] += n
	}
	b.opCount += len(s.ops)
	return true
}

func (b *batch) isEmpty() bool { return len(b.submissions) == 0 }

// apply applies the submissions that the shard does not contain yet.
func (b *batch) apply(shard *ledger.Shard, now time.Time) {
	for ; b.applied < len(b.submissions); b.applied++ {
		s := b.submissions[b.applied]
		s.results = make([]budget.Result, len(s.ops))
		for i, op := range s.ops {
			s.results[i] = shard.Apply(now, op)
		}
	}
}

func (b *batch) sendResults() {
	for _, s := range b.submissions {
		s.done <- reply{results: s.results}
	}
}

func (b *batch) sendError(err error) {
	for _, s := range b.submissions {
		s.done <- reply{err: err}
	}
}
