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

// Guards I5: a call has one claim, a finished claim stays, and only its own release frees it.
func TestClaimOnce(t *testing.T) {
	b := newBooks(t, 1)
	b.ok(claimOp(budget.OpClaim, "a", "k", nil))
	b.ok(claimOp(budget.OpClaim, "a", "k", nil))
	must.Eq(t, "a-k", b.code(budget.CodeClaimed, claimOp(budget.OpClaim, "b", "k", nil)).Claim.ID)
	b.ok(claimOp(budget.OpClaimRelease, "b", "k", nil))
	b.code(budget.CodeClaimed, claimOp(budget.OpClaim, "b", "k", nil))
	b.ok(claimOp(budget.OpClaimRelease, "a", "k", nil))
	b.ok(claimOp(budget.OpClaim, "b", "k", nil))
	b.code(budget.CodeInvalid, claimOp(budget.OpClaimResult, "a", "k", &budget.StoredResult{Status: 200}))
	stored := &budget.StoredResult{Status: 201, ContentType: "text/plain", Body: []byte("booked")}
	b.ok(claimOp(budget.OpClaimResult, "b", "k", stored))
	b.code(budget.CodeInvalid, claimOp(budget.OpClaimRelease, "b", "k", nil))
	must.Eq(t, stored, b.code(budget.CodeClaimed, claimOp(budget.OpClaim, "c", "k", nil)).Claim.Result)
	b.now = b.now.Add(ClaimRetention)
	b.prune()
	b.code(budget.CodeClaimed, claimOp(budget.OpClaim, "c", "k", nil))
	b.now = b.now.Add(time.Minute)
	b.prune()
	b.ok(claimOp(budget.OpClaim, "c", "k", nil))
}

// Guards I5 at the size bound: a full shard refuses claims and drops only old bodies, never a claim.
func TestClaimsAreRefusedNotDropped(t *testing.T) {
	s := New()
	body := make([]byte, MaxResultBody)
	stored, sequence := 0, 0
	for ; stored < 1<<16; stored++ {
		if stored%1000 == 0 {
			encodedSize(t, s)
		}
		for _, kind := range []budget.OpKind{budget.OpClaim, budget.OpClaimResult} {
			op := claimOp(kind, "a", fmt.Sprintf("key-%d", stored), &budget.StoredResult{Status: 200, Body: body})
			sequence++
			op.ID, op.Budget = fmt.Sprintf("a/%d", sequence), acct
			r := s.Apply(start.Add(time.Duration(stored)*time.Second), op)
			if r.Code == budget.CodeFull {
				goto full
			}
			must.Eq(t, budget.CodeOK, r.Code)
		}
	}
full:
	must.Greater(t, 1000, stored)
	must.MapLen(t, stored, s.claims)
	must.LessEq(t, resultsSize, s.resultBytes)
	must.LessEq(t, claimsSize+resultsSize, s.claimBytes)
	value, err := s.Encode()
	must.NoError(t, err)
	must.LessEq(t, claimsSize+resultsSize+1<<14, len(value))
	must.True(t, s.claims[recordKey(acct.Organisation, "key-0")].result.Truncated)
	t.Logf("%d claims stored before the shard refused, %d bytes", stored, len(value))
}
