// Package ledger is the pure state of one ledger shard: budgets, grants, bills and claims of a set of
// organisations, and the operations on them. It has no I/O and no clock; the time is passed in.
//
// At every version, settled + sum of grants <= topped up for every budget. Apply panics if an operation breaks
// this, because a process that holds wrong books must not go on.
//
// Duplicates. Operations of routers have ids "<issuer>/<sequence>". Per issuer and organisation the shard keeps the
// results of the latest operations and a floor; an operation at or below the floor is refused as stale, so a
// duplicate never takes effect however late it arrives. Operators' operations are recognised by a hash of their id for
// TopUpRetention or OperatorRetention; CodeFull refuses further ones rather than forget an id early.
package ledger

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Retention times, measured by the shard's clock.
const (
	// HistoryRetention is how long the result of a router's operation is kept at least, unless the issuer has
	// more than historyMax later ones. It covers reordering between the paths of a router's operations.
	HistoryRetention = time.Minute
	// TopUpRetention is how long the id of a top-up is recognised. A top-up must count once, so its id is kept
	// longer than any caller's retries.
	TopUpRetention = 30 * 24 * time.Hour
	// OperatorRetention is how long the ids of operators' other operations are recognised.
	OperatorRetention = 24 * time.Hour
	// ClosedRetention is how long a closed holder is recognised. A holder that is forgotten after that has no
	// grant, so its settlements, returns and transfers are refused; a late grant to it would stay unspent,
	// because its witnesses refuse its journal.
	ClosedRetention = 24 * time.Hour
	// idleHistory is the time without operations after which only the last result of an issuer is kept.
	idleHistory = time.Hour
	// IssuerRetention is how long the history of an issuer without grants is kept after its last operation.
	IssuerRetention = 24 * time.Hour
	// ClaimRetention is how long claims are kept.
	ClaimRetention = 24 * time.Hour
)

// Bounds on the size of a shard.
const (
	historyMin = 8
	// historyMax is twice the largest number of operations of one issuer in one write.
	historyMax  = 512
	operatorMax = 16384
	// maxTokens bounds amounts so that sums can't overflow.
	maxTokens = int64(1) << 53
	// maxName bounds the length of names and ids in bytes.
	maxName = 256
	// MaxResultBody is the largest body of a claim's result, in bytes.
	MaxResultBody = 4096
	// MaxSize is the largest encoded size of a shard in bytes. A shard is stored in several objects, so this bounds
	// the time and memory that its primary router needs, not the size of an object.
	MaxSize = 4 << 20
	// growthSize is the size above which operations that lead to new records are refused; the rest up to
	// MaxSize is left for settlements.
	growthSize = MaxSize * 3 / 4
	// claimsSize bounds the claims without the bodies of their results, and resultsSize those bodies; beyond it the
	// oldest bodies are dropped, never the claims.
	claimsSize  = MaxSize * 3 / 8
	resultsSize = MaxSize / 8
	// claimGrowthSize is the size above which claims are refused, so that claims can't crowd out grants.
	claimGrowthSize = MaxSize * 5 / 8
)

// ShardOf returns the shard of an organisation.
func ShardOf(organisation string, shards int) int {
	return int(xxhash.Sum64String(organisation) % uint64(shards))
}

// Key returns the key of a shard's object.
func Key(shard int) string { return "ledger/" + strconv.Itoa(shard) }

// recordKey identifies a bill or claim by organisation and idempotency key. With 64 bits and 100,000 records in a
// shard the chance that a new record meets the hash of another is below 1 in 10^14.
func recordKey(organisation, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
