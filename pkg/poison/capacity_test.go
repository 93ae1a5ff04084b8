package poison

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	poisonv1 "github.com/lavendershunt/lavendershunt/api/ls/poison/v1"
)

// Guards against crash records that are larger than docs/CAPACITY.md assumes, in the memory of a router and in the
// message that a joining router gets from each other router.
func TestRecordSizes(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, n := range []int{100, 5000, maxRecords} {
		before := heapBytes()
		set := NewRecordSet(isolatingRules)
		for i := range n {
			set.Merge(now, Record{
				Fingerprint: Fingerprint{Organisation: fmt.Sprintf("organisation-%05d", i%23000), BodyHash: uint64(i) << 32},
				Crashes:     []Crash{{VM: fmt.Sprintf("engine-%04d", i%4500), Observer: "entry-001@1796367536807-9c6442c5", At: now}},
			})
		}
		memory := heapBytes() - before
		message := &poisonv1.SpreadRequest{}
		for _, r := range set.Records() {
			message.Records = append(message.Records, toMessage(r))
		}
		must.Len(t, n, message.GetRecords())
		wire := proto.Size(message)
		t.Logf("%d records: %.0f B in memory and %.0f B in a message each", n, float64(memory)/float64(n), float64(wire)/float64(n))
		must.Less(t, 128, float64(wire)/float64(n))
		must.Less(t, 1024, float64(memory)/float64(n))
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
