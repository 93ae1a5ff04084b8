package memory

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var (
	crowdAddress  = netip.MustParseAddr("192.0.2.1")
	callerAddress = netip.MustParseAddr("192.0.2.2")
)

const wholeBody = 4 << 20

// Guards against a limit that refuses a single request inside the callers' limits: its body while its buffer grows, and an answer as
// large.
func TestSingleRequestFits(t *testing.T) {
	for _, mb := range []int64{16, 64, 88, 112, 536} {
		a := NewAccount(LimitsFor(mb << 20))
		h := a.Open(callerAddress, "org")
		must.NoError(t, h.Grow(wholeBody/2))
		must.NoError(t, h.Grow(wholeBody), must.Sprint(mb))
		h.Shrink(wholeBody / 2)
		must.NoError(t, h.Grow(wholeBody), must.Sprint(mb))
	}
}

// Guards against a crowd of large bodies that leaves no room for small requests, or for the bodies of another caller.
func TestCrowdTakesItsShareOnly(t *testing.T) {
	a := NewAccount(LimitsFor(112 << 20))
	refusals := 0
	for range 100 {
		if h := a.Open(crowdAddress, "crowd"); h.Grow(wholeBody) != nil {
			refusals++
		}
	}
	must.Positive(t, refusals)
	must.ErrorIs(t, a.Open(callerAddress, "crowd").Grow(wholeBody), ErrShare)
	must.ErrorIs(t, a.Open(crowdAddress, "org").Grow(wholeBody), ErrShare)
	must.NoError(t, a.Open(callerAddress, "org").Grow(wholeBody))
	for i := range 100 { // Other addresses and organisations take the rest.
		_ = a.Open(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), fmt.Sprint(i)).Grow(wholeBody)
	}
	must.ErrorIs(t, a.Open(callerAddress, "").Grow(wholeBody), ErrFull)
	must.NoError(t, a.Open(crowdAddress, "crowd").Grow(SmallBytes))
}

// Guards against an account that stays full with bodies that don't come: the slowest is ended, and neither a young one nor that of
// another caller for a share.
func TestSlowestArrivalIsEnded(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewAccount(LimitsFor(112 << 20))
	a.now = func() time.Time { return now }
	var ended []string
	arrive := func(name string, address netip.Addr, bytes int64) *Holding {
		h := a.Open(address, name)
		must.NoError(t, h.Grow(bytes))
		h.Arrive(func() { ended = append(ended, name) })
		return h
	}
	arrive("other", callerAddress, SmallBytes+1)
	slow := arrive("slow", crowdAddress, wholeBody)
	arrive("fast", crowdAddress, wholeBody+SmallBytes)
	h := a.Open(crowdAddress, "")
	must.ErrorIs(t, h.Grow(3*wholeBody), ErrShare)
	must.SliceEmpty(t, ended)
	now = now.Add(evictAfter)
	must.ErrorIs(t, h.Grow(3*wholeBody), ErrShare)
	must.Eq(t, []string{"slow"}, ended)
	must.ErrorIs(t, h.Grow(3*wholeBody), ErrShare)
	must.Eq(t, []string{"slow"}, ended) // It has not had the time to go.
	slow.Close()
	must.NoError(t, h.Grow(3*wholeBody))
	must.EqOp(t, 1, a.Stats().Evicted)
}

// Guards against sums that drift from the holdings, or pass the total, over any sequence of calls.
func TestSumsStayExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(LimitsFor(64 << 20))
		holdings := make([]*Holding, 6)
		for i := range holdings {
			holdings[i] = a.Open([]netip.Addr{{}, crowdAddress, callerAddress}[i%3], []string{"", "org"}[i%2])
		}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			h := holdings[rapid.IntRange(0, 5).Draw(t, "holding")]
			switch n := rapid.Int64Range(1, 6<<20).Draw(t, "bytes"); rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				_ = h.Grow(n) // Refusals are part of the sequence.
			case 1:
				h.Shrink(n)
			case 2:
				h.Close()
			}
			sum, byAddress := int64(0), map[netip.Addr]int64{}
			for _, h := range holdings {
				sum += h.bytes
				if h.address.IsValid() {
					byAddress[h.address] += shared(h.bytes)
				}
			}
			must.EqOp(t, sum, a.used)
			must.LessEq(t, a.limits.Total, a.used)
			for address, n := range byAddress {
				must.EqOp(t, n, a.addresses[address])
				must.LessEq(t, a.limits.Caller, n)
			}
		}
		for _, h := range holdings {
			h.Close()
		}
		must.MapEmpty(t, a.addresses)
		must.MapEmpty(t, a.organisations)
	})
}

// Guards against a log line for each refusal, and against a map that grows with the number of addresses.
func TestRefusalsAreLoggedOnceInAPeriod(t *testing.T) {
	var r Refusals
	now := time.Unix(1000, 0)
	for i := range 5 {
		_, ok := r.Record(crowdAddress, "full", now)
		must.EqOp(t, i == 0, ok)
	}
	count, ok := r.Record(crowdAddress, "full", now.Add(refusalPeriod))
	must.True(t, ok)
	must.EqOp(t, 5, count)
	for i := range 2 * maxRefused {
		r.Record(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), "share", now.Add(refusalPeriod))
	}
	must.LessEq(t, maxRefused+1, len(r.callers))
	must.Eq(t, map[string]int64{"full": 6, "share": 2 * maxRefused}, r.ByReason())
}
