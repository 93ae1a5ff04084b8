package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// newFilledShard returns a shard with the given numbers of records. 25 budgets share an organisation, as at the size
// expected in two years; each organisation has two holders with a grant on one budget and three issuers each. The ids
// are as long as real ones.
func newFilledShard(tb testing.TB, budgets, bills, claims int) *Shard {
	s := New()
	apply := func(op budget.Op) {
		if r := s.Apply(start, op); r.Code != budget.CodeOK {
			tb.Fatalf("%s %s: %s %s", op.Kind, op.ID, r.Code, r.Message)
		}
	}
	organisations := (budgets + 24) / 25
	sequence := 0
	newOp := func(kind budget.OpKind, org, account, holder int) budget.Op {
		sequence++
		id := budget.ID{Organisation: fmt.Sprintf("organisation-%05d", org), Budget: fmt.Sprintf("budget-%06d", account)}
		h := fmt.Sprintf("entry-%03d.1b2c3d4e5f6a", holder)
		return budget.Op{ID: fmt.Sprintf("%s/%s/%s/%d", h, id.Organisation, kind, sequence), Kind: kind, Budget: id, Holder: h}
	}
	for i := range budgets {
		encodePeriodically(tb, s, i)
		create := newOp(budget.OpCreate, i/25, i, 0)
		apply(create)
		topUp := newOp(budget.OpTopUp, i/25, i, 0)
		topUp.Tokens = 1 << 40
		apply(topUp)
	}
	clear(s.operatorOps)
	for org := range organisations {
		for n := range 2 {
			grant := newOp(budget.OpGrant, org, org*25, (org*2+n)%370)
			grant.Want = 1 << 20
			apply(grant)
		}
	}
	for i := range bills {
		encodePeriodically(tb, s, i)
		org := i % organisations
		settle := newOp(budget.OpSettle, org, org*25, (org*2+i/organisations%2)%370)
		settle.Bills = []budget.Bill{{Budget: settle.Budget, Key: fmt.Sprintf("key-%d", i), Tokens: 300}}
		s.clock = start.Unix() + int64(i*900/bills)
		apply(settle)
	}
	for i := range claims {
		claim := newOp(budget.OpClaim, i%organisations, 0, i%370)
		claim.Claim = &budget.ClaimRecord{Key: fmt.Sprintf("call-%d", i), ID: claim.ID, Owner: claim.Holder, BodyHash: uint64(i)}
		apply(claim)
	}
	return s
}

// encodePeriodically encodes the shard at every 1000th i, as a writer does from time to time, because the bound on its
// size grows with each operation. It also drops the ids of operators' operations, which the size tests don't count.
func encodePeriodically(tb testing.TB, s *Shard, i int) {
	if i%1000 == 0 {
		clear(s.operatorOps)
		encodedSize(tb, s)
	}
}

func encodedSize(tb testing.TB, s *Shard) int {
	value, err := s.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	return len(value)
}

// Guards against growth of the encoded bytes per budget, bill and claim, which docs/CAPACITY.md uses.
func TestEncodedSizePerRecord(t *testing.T) {
	base := encodedSize(t, newFilledShard(t, 1000, 10000, 100))
	perBudget := float64(encodedSize(t, newFilledShard(t, 2000, 10000, 100))-base) / 1000
	perBill := float64(encodedSize(t, newFilledShard(t, 1000, 30000, 100))-base) / 20000
	perClaim := float64(encodedSize(t, newFilledShard(t, 1000, 10000, 1100))-base) / 1000
	t.Logf("1,000 budgets, 10,000 bills, 100 claims: %d bytes; per budget %.1f, per bill %.1f, per claim %.1f",
		base, perBudget, perBill, perClaim)
	one, ten := deltaSize(t, 1), deltaSize(t, 10)
	t.Logf("delta of a settlement with 1 bill: %d bytes, with 10 bills: %d bytes", one, ten)
	must.Less(t, 200, one)
	must.Less(t, 80, perBudget)
	must.Less(t, 12, perBill)
	must.Less(t, 110, perClaim)
}

// deltaSize returns the size in bytes of the delta of one settlement with the given number of bills.
func deltaSize(tb testing.TB, bills int) int {
	s := newFilledShard(tb, 100, 0, 0)
	encodedSize(tb, s)
	holder, id := "entry-000.1b2c3d4e5f6a", budget.ID{Organisation: "organisation-00000", Budget: "budget-000000"}
	op := budget.Op{ID: holder + "/" + id.Organisation + "/settle/99999", Kind: budget.OpSettle, Budget: id, Holder: holder}
	for i := range bills {
		op.Bills = append(op.Bills, budget.Bill{Budget: id, Key: fmt.Sprint(i), Tokens: 300})
	}
	if r := s.Apply(start, op); r.Code != budget.CodeOK {
		tb.Fatal(r.Message)
	}
	delta, err := s.Delta()
	if err != nil {
		tb.Fatal(err)
	}
	return len(delta)
}

func BenchmarkShard(b *testing.B) {
	for _, n := range []struct{ budgets, bills int }{
		{100, 0}, {1000, 0}, {10000, 0}, {1000, 1000}, {1000, 10000}, {1000, 40000}, {2200, 25000},
	} {
		s := newFilledShard(b, n.budgets, n.bills, 0)
		name := fmt.Sprintf("budgets=%d/bills=%d/", n.budgets, n.bills)
		value, _ := s.Encode()
		b.Run(name+"encode", func(b *testing.B) {
			b.ReportMetric(float64(len(value)), "bytes")
			for b.Loop() {
				_, _ = s.Encode()
			}
		})
		b.Run(name+"prune", func(b *testing.B) {
			for b.Loop() {
				s.Prune(start)
			}
		})
		b.Run(name+"decode", func(b *testing.B) {
			for b.Loop() {
				_, _ = Decode(value)
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, budgets := range []int{100, 1000, 10000} {
		s := newFilledShard(b, budgets, 0, 0)
		id := budget.ID{Organisation: "organisation-00000", Budget: "budget-000000"}
		i := 0
		newOp := func(kind budget.OpKind) budget.Op {
			i++
			return budget.Op{ID: fmt.Sprintf("entry-000.1b2c3d4e5f6a/x/%d", i), Kind: kind, Budget: id, Holder: "entry-000.1b2c3d4e5f6a"}
		}
		now := start
		b.Run(fmt.Sprintf("grant+return/budgets=%d", budgets), func(b *testing.B) {
			for b.Loop() {
				grant := newOp(budget.OpGrant)
				grant.Need = 1000
				s.Apply(now, grant)
				returned := newOp(budget.OpReturn)
				returned.Tokens = 1000
				s.Apply(now, returned)
				now = now.Add(100 * time.Millisecond)
			}
		})
		b.Run(fmt.Sprintf("settle10/budgets=%d", budgets), func(b *testing.B) {
			for b.Loop() {
				settle := newOp(budget.OpSettle)
				for k := range 10 {
					settle.Bills = append(settle.Bills, budget.Bill{Budget: id, Key: fmt.Sprintf("k%d-%d", i, k)})
				}
				s.Apply(now, settle)
				if i%1000 == 0 {
					clear(s.bills)
					s.account(id).bills = nil
					s.size = 0
				}
			}
		})
	}
}
