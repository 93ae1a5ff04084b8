package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

func claimOp(kind budget.OpKind, owner, key string, result *budget.StoredResult) budget.Op {
	return budget.Op{Kind: kind, Claim: &budget.ClaimRecord{
		Key: key, ID: owner + "-" + key, Owner: owner, BodyHash: 7, Result: result,
	}}
}

// Guards against running a non-idempotent call twice (invariant I5): a call has one claim, only the claim's owner can
// release it, and a claim with a result is kept until its retention ends.
func TestCallIsClaimedOnce(t *testing.T) {
	ts := newTestShard(t, 1)
	ts.expectOK(claimOp(budget.OpClaim, "a", "k", nil))
	ts.expectOK(claimOp(budget.OpClaim, "a", "k", nil))
	must.Eq(t, "a-k", ts.expectCode(budget.CodeClaimed, claimOp(budget.OpClaim, "b", "k", nil)).Claim.ID)
	ts.expectOK(claimOp(budget.OpClaimRelease, "b", "k", nil))
	ts.expectCode(budget.CodeClaimed, claimOp(budget.OpClaim, "b", "k", nil))
	ts.expectOK(claimOp(budget.OpClaimRelease, "a", "k", nil))
	ts.expectOK(claimOp(budget.OpClaim, "b", "k", nil))
	ts.expectCode(budget.CodeInvalid, claimOp(budget.OpClaimResult, "a", "k", &budget.StoredResult{Status: 200}))
	stored := &budget.StoredResult{Status: 201, ContentType: "text/plain", Body: []byte("booked")}
	ts.expectOK(claimOp(budget.OpClaimResult, "b", "k", stored))
	ts.expectCode(budget.CodeInvalid, claimOp(budget.OpClaimRelease, "b", "k", nil))
	must.Eq(t, stored, ts.expectCode(budget.CodeClaimed, claimOp(budget.OpClaim, "c", "k", nil)).Claim.Result)
	ts.now = ts.now.Add(ClaimRetention)
	ts.prune()
	ts.expectCode(budget.CodeClaimed, claimOp(budget.OpClaim, "c", "k", nil))
	ts.now = ts.now.Add(time.Minute)
	ts.prune()
	ts.expectOK(claimOp(budget.OpClaim, "c", "k", nil))
}

// Guards against running a non-idempotent call twice (invariant I5) because a full shard dropped its claim: the shard
// must refuse new claims and drop only old bodies.
func TestClaimsAreRefusedNotDropped(t *testing.T) {
	s := New()
	body := make([]byte, MaxResultBody)
	claimCount, sequence := 0, 0
	for ; claimCount < 1<<16; claimCount++ {
		if claimCount%1000 == 0 {
			encodedSize(t, s)
		}
		for _, kind := range []budget.OpKind{budget.OpClaim, budget.OpClaimResult} {
			op := claimOp(kind, "a", fmt.Sprintf("key-%d", claimCount), &budget.StoredResult{Status: 200, Body: body})
			sequence++
			op.ID, op.Budget = fmt.Sprintf("a/%d", sequence), testBudget
			r := s.Apply(start.Add(time.Duration(claimCount)*time.Second), op)
			if r.Code == budget.CodeFull {
				goto full
			}
			must.Eq(t, budget.CodeOK, r.Code)
		}
	}
full:
	must.Greater(t, 1000, claimCount)
	must.MapLen(t, claimCount, s.claims)
	must.LessEq(t, maxResultBytes, s.resultBytes)
	must.LessEq(t, maxClaimBytes+maxResultBytes, s.claimBytes)
	value, err := s.Encode()
	must.NoError(t, err)
	must.LessEq(t, maxClaimBytes+maxResultBytes+1<<14, len(value))
	must.True(t, s.claims[recordKey(testBudget.Organisation, "key-0")].result.Truncated)
	t.Logf("%d claims stored before the shard refused, %d bytes", claimCount, len(value))
}
