// Package ledger implements the state of one ledger shard: budgets, grants, bills and claims of a set of
// organisations, and the operations on them. It performs no I/O and reads no clock; callers pass the time in. The
// holder of a grant is a router instance.
//
// Invariant: in every version, settled + sum of grants <= topped up for every budget. Apply panics if an operation
// breaks it, because a process must not continue with wrong balances.
//
// Duplicates: operations of routers have ids "<issuer>/<sequence>". Per issuer and organisation the shard keeps the
// results of the latest operations and a floor. An operation at or below the floor is refused as stale, so a duplicate
// never takes effect however late it arrives. Operators' operations are recognised by a hash of their id for
// TopUpRetention or OperatorRetention; when the table of ids is full, further ones are refused with CodeFull instead
// of dropping an id early.
package ledger

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Retention times by the shard's clock, which is the latest time passed to Apply or Prune.
const (
	// HistoryRetention is the minimum time for which the result of a router's operation is kept, unless the issuer
	// has more than maxHistoryEntries later ones. It covers reordering of operations that a router sends by
	// different paths.
	HistoryRetention = time.Minute
	// TopUpRetention is how long the id of a top-up is kept. A top-up must count only once, so its id is kept for
	// longer than any caller retries.
	TopUpRetention = 30 * 24 * time.Hour
	// OperatorRetention is how long the ids of operators' other operations are kept.
	OperatorRetention = 24 * time.Hour
	// ClosedRetention is how long the mark of a closed holder is kept. After that the holder still has no grant, so
	// its settlements, returns and transfers are refused. A late grant to it would stay unspent, because its
	// witnesses refuse its journal.
	ClosedRetention = 24 * time.Hour
	// historyIdleTime is the time without operations after which only the last result of an issuer is kept.
	historyIdleTime = time.Hour
	// IssuerRetention is how long the history of an issuer without grants is kept after its last operation.
	IssuerRetention = 24 * time.Hour
	// ClaimRetention is how long claims are kept.
	ClaimRetention = 24 * time.Hour
)

// Bounds on the size of a shard.
const (
	// minHistoryEntries is the number of latest results per issuer that trimHistory keeps whatever their age.
	minHistoryEntries = 8
	// maxHistoryEntries is twice the largest number of operations of one issuer in one write.
	maxHistoryEntries = 512
	maxOperatorOps    = 16384
	// maxTokens limits amounts so that sums can't overflow.
	maxTokens = int64(1) << 53
	// maxNameBytes is the maximum length of names and ids in bytes.
	maxNameBytes = 256
	// MaxResultBody is the largest body of a claim's result, in bytes.
	MaxResultBody = 4096
	// MaxSize is the largest encoded size of a shard in bytes. A shard is stored in several objects, so this limits
	// the time and memory that its primary router needs, not the size of an object.
	MaxSize = 4 << 20
	// maxSizeForNewRecords is the size in bytes above which operations that lead to new records are refused; the
	// rest up to MaxSize is reserved for settlements.
	maxSizeForNewRecords = MaxSize * 3 / 4
	// maxClaimBytes limits the total size of the claims without the bodies of their results, and maxResultBytes that
	// of the bodies. Above maxResultBytes the oldest bodies are dropped; claims are never dropped.
	maxClaimBytes  = MaxSize * 3 / 8
	maxResultBytes = MaxSize / 8
	// maxSizeForClaims is the size of a shard in bytes above which claims are refused, so that claims leave room for
	// grants.
	maxSizeForClaims = MaxSize * 5 / 8
)

// ShardOf returns the shard of an organisation.
func ShardOf(organisation string, shards int) int {
	return int(xxhash.Sum64String(organisation) % uint64(shards))
}

// Key returns the key under which a shard's head is stored.
func Key(shard int) string { return "ledger/" + strconv.Itoa(shard) }

// recordKey returns the hash that identifies a bill or claim by organisation and idempotency key. With 64 bits and
// 100,000 records in a shard, the probability that a new record has the hash of another is below 1 in 10^14.
func recordKey(organisation, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
