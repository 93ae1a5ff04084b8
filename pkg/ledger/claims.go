package ledger

import (
	"cmp"
	"slices"
	"strings"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// claim is the stored record of a non-idempotent call.
type claim struct {
	id       string
	owner    string
	bodyHash uint64
	at       int64
	result   *budget.StoredResult
}

func (c *claim) record(key string) *budget.ClaimRecord {
	return &budget.ClaimRecord{
		Key: key, ID: c.id, Owner: c.owner, BodyHash: c.bodyHash, CreatedMS: c.at * 1000, Result: c.result,
	}
}

// bytes returns a bound on the encoded size. It includes room for a result without body and content type.
// The owner's name is stored once for all its claims and not counted.
func (c *claim) bytes() int { return claimBytes + len(c.shortID()) + c.bodyBytes() }

// shortID returns the id without the owner's name, which nearly all ids begin with. The first byte of the stored id
// tells whether it was left out.
func (c *claim) shortID() string {
	if rest, ok := strings.CutPrefix(c.id, c.owner+"/"); ok {
		return "/" + rest
	}
	return "=" + c.id
}

func longID(short, owner string) string {
	if rest, ok := strings.CutPrefix(short, "/"); ok {
		return owner + "/" + rest
	}
	return strings.TrimPrefix(short, "=")
}

func (c *claim) bodyBytes() int {
	if c.result == nil {
		return 0
	}
	return len(c.result.Body) + len(c.result.ContentType)
}

// claim stores a claim unless the call is claimed already. A full shard refuses; it never drops a claim.
func (s *Shard) claim(op budget.Op) budget.Result {
	key := recordKey(op.Budget.Organisation, op.Claim.Key)
	if c := s.claims[key]; c != nil {
		code := budget.CodeClaimed
		if c.id == op.Claim.ID {
			code = budget.CodeOK
		}
		return budget.Result{Code: code, Claim: c.record(op.Claim.Key)}
	}
	c := &claim{id: op.Claim.ID, owner: op.Claim.Owner, bodyHash: op.Claim.BodyHash, at: s.clock}
	if s.claimBytes-s.resultBytes+c.bytes() > claimsSize || s.Size() > claimGrowthSize {
		return budget.Result{Code: budget.CodeFull, Message: "shard has no room for another claim"}
	}
	s.claims[key] = c
	s.changes.claims[key] = struct{}{}
	s.addClaimSize(c)
	return budget.Result{Code: budget.CodeOK, Claim: c.record(op.Claim.Key)}
}

func (s *Shard) addClaimSize(c *claim) {
	s.claimBytes += c.bytes()
	s.resultBytes += c.bodyBytes()
	s.size += c.bytes() + len(c.owner)
}

// claimResult stores the result of a claim. The first result stays.
func (s *Shard) claimResult(op budget.Op) budget.Result {
	key := recordKey(op.Budget.Organisation, op.Claim.Key)
	c := s.claims[key]
	if c == nil || c.id != op.Claim.ID {
		return invalid("claim %s does not exist", op.Claim.ID)
	}
	if c.result == nil {
		s.changes.claims[key] = struct{}{}
		s.claimBytes -= c.bytes()
		result := *op.Claim.Result
		c.result = &result
		s.addClaimSize(c)
		s.shrinkResults()
	}
	return budget.Result{Code: budget.CodeOK, Claim: c.record(op.Claim.Key)}
}

// claimRelease removes a claim whose owner did not dispatch the call.
func (s *Shard) claimRelease(op budget.Op) budget.Result {
	key := recordKey(op.Budget.Organisation, op.Claim.Key)
	c := s.claims[key]
	if c == nil || c.id != op.Claim.ID {
		return budget.Result{Code: budget.CodeOK}
	}
	if c.result != nil {
		r := invalid("claim %s has a result", c.id)
		r.Claim = c.record(op.Claim.Key)
		return r
	}
	s.dropClaim(key, c)
	s.changes.claims[key] = struct{}{}
	return budget.Result{Code: budget.CodeOK}
}

func (s *Shard) dropClaim(key uint64, c *claim) {
	s.claimBytes -= c.bytes()
	s.resultBytes -= c.bodyBytes()
	delete(s.claims, key)
}

// shrinkResults drops the bodies of the oldest results while they exceed their bound.
func (s *Shard) shrinkResults() {
	if s.resultBytes <= resultsSize {
		return
	}
	var withBody []*claim
	for _, c := range s.claims {
		if c.bodyBytes() > 0 {
			withBody = append(withBody, c)
		}
	}
	slices.SortFunc(withBody, func(a, b *claim) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
	// A quarter is dropped at once so that the sort is rare.
	for _, c := range withBody {
		if s.resultBytes <= resultsSize*3/4 {
			return
		}
		s.size -= c.bodyBytes()
		s.claimBytes -= c.bodyBytes()
		s.resultBytes -= c.bodyBytes()
		c.result = &budget.StoredResult{Status: c.result.Status, Truncated: true}
	}
}

// pruneClaims drops the claims whose retention has ended.
func (s *Shard) pruneClaims() {
	for key, c := range s.claims {
		if s.clock-c.at > int64(ClaimRetention.Seconds()) {
			s.dropClaim(key, c)
		}
	}
}
