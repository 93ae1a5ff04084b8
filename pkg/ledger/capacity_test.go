package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// Guards against deltas that grow faster than the number of settlements and bills in them, because every write sends
// the whole head with its deltas. docs/CAPACITY.md uses the bytes per settlement and per bill.
func TestDeltaSizePerRecord(t *testing.T) {
	for _, issuers := range []int{1, 8, 64} {
		for _, bills := range []int{1, 10, 100} {
			s := newFilledShard(t, 1000, 1000, 0)
			_, err := s.Encode()
			must.NoError(t, err)
			for i := range issuers {
				org := i % 40
				holder := fmt.Sprintf("entry-%03d.1b2c3d4e5f6a", (org*2+i/40)%370)
				op := budget.Op{
					ID: fmt.Sprintf("%s/%d", holder, 1<<30+i), Kind: budget.OpSettle, Holder: holder,
					Budget: budget.ID{Organisation: fmt.Sprintf("organisation-%05d", org), Budget: fmt.Sprintf("budget-%06d", org*25)},
				}
				for b := range bills {
					op.Bills = append(op.Bills, budget.Bill{Budget: op.Budget, Key: fmt.Sprintf("new-%d-%d", i, b), Tokens: 300})
				}
				must.Eq(t, budget.CodeOK, s.Apply(start.Add(time.Second), op).Code)
			}
			delta, err := s.Delta()
			must.NoError(t, err)
			t.Logf("%d issuers, %d bills each: %d bytes, %.1f per bill", issuers, bills, len(delta), float64(len(delta))/float64(issuers*bills))
			must.Less(t, 400*issuers+16*issuers*bills, len(delta))
		}
	}
}

// Guards the figures of docs/CAPACITY.md for a shard of the size expected in two years: its base must stay below the
// size at which new records are refused.
func TestShardSizeInTwoYears(t *testing.T) {
	for _, shards := range []int{64, 128, 256} {
		budgets, bills := 570_000/shards, 7100*900/shards
		value, err := newFilledShard(t, budgets, bills, 0).Encode()
		must.NoError(t, err)
		before := heapBytes()
		decoded, err := Decode(value)
		must.NoError(t, err)
		memory := heapBytes() - before
		runtime.KeepAlive(decoded)
		t.Logf("%d shards: %d budgets and %d bills each, base %d bytes, %d bytes in memory", shards, budgets, bills, len(value), memory)
		must.Less(t, maxSizeForNewRecords, len(value))
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
