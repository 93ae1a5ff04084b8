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
	// at is the time of the claim in seconds since 1970.
	at     int64
	result *budget.StoredResult
}

func (c *claim) record(key string) *budget.ClaimRecord {
	return &budget.ClaimRecord{
		Key: key, ID: c.id, Owner: c.owner, BodyHash: c.bodyHash, CreatedMS: c.at * 1000, Result: c.result,
	}
}

// encodedBytes returns an upper bound of the encoded size. It includes the fixed fields of a result, also if there is
// none yet. The owner's name is not counted, because it is stored once for all its claims.
func (c *claim) encodedBytes() int { return claimBytes + len(c.shortID()) + c.bodyBytes() }

// shortID returns the stored form of the id. The owner's name, with which nearly all ids begin, is left out; the first
// byte is "/" if it was left out and "=" otherwise.
func (c *claim) shortID() string {
	if rest, ok := strings.CutPrefix(c.id, c.owner+"/"); ok {
		return "/" + rest
	}
	return "=" + c.id
}

// fullID reverses shortID.
func fullID(short, owner string) string {
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

// storeClaim stores a claim unless the call is claimed already. A full shard refuses new claims and never drops one.
func (s *Shard) storeClaim(op budget.Op) budget.Result {
	key := recordKey(op.Budget.Organisation, op.Claim.Key)
	if c := s.claims[key]; c != nil {
		code := budget.CodeClaimed
		if c.id == op.Claim.ID {
			code = budget.CodeOK
		}
		return budget.Result{Code: code, Claim: c.record(op.Claim.Key)}
	}
	c := &claim{id: op.Claim.ID, owner: op.Claim.Owner, bodyHash: op.Claim.BodyHash, at: s.clock}
	if s.claimBytes-s.resultBytes+c.encodedBytes() > maxClaimBytes || s.Size() > maxSizeForClaims {
		return budget.Result{Code: budget.CodeFull, Message: "shard has no room for another claim"}
	}
	s.claims[key] = c
	s.changes.claims[key] = struct{}{}
	s.addClaimSize(c)
	return budget.Result{Code: budget.CodeOK, Claim: c.record(op.Claim.Key)}
}

func (s *Shard) addClaimSize(c *claim) {
	s.claimBytes += c.encodedBytes()
	s.resultBytes += c.bodyBytes()
	s.size += c.encodedBytes() + len(c.owner)
}

// storeClaimResult stores the result of a claim. If the claim has a result already, that one is kept.
func (s *Shard) storeClaimResult(op budget.Op) budget.Result {
	key := recordKey(op.Budget.Organisation, op.Claim.Key)
	c := s.claims[key]
	if c == nil || c.id != op.Claim.ID {
		return invalid("claim %s does not exist", op.Claim.ID)
	}
	if c.result == nil {
		s.changes.claims[key] = struct{}{}
		s.claimBytes -= c.encodedBytes()
		result := *op.Claim.Result
		c.result = &result
		s.addClaimSize(c)
		s.dropOldestBodies()
	}
	return budget.Result{Code: budget.CodeOK, Claim: c.record(op.Claim.Key)}
}

// releaseClaim removes a claim whose owner did not dispatch the call.
func (s *Shard) releaseClaim(op budget.Op) budget.Result {
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
	s.claimBytes -= c.encodedBytes()
	s.resultBytes -= c.bodyBytes()
	delete(s.claims, key)
}

// dropOldestBodies drops the bodies of the oldest results if the total size of bodies exceeds maxResultBytes.
func (s *Shard) dropOldestBodies() {
	if s.resultBytes <= maxResultBytes {
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
	// A quarter is dropped at once so that sorting is rarely needed.
	for _, c := range withBody {
		if s.resultBytes <= maxResultBytes*3/4 {
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
