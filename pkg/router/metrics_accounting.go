package router

import (
	"github.com/lavendershunt/lavendershunt/pkg/telemetry"
)

func (a *accounting) registerMetrics(i *telemetry.Instruments) {
	a.registerTokenPool(i)
	a.registerJournal(i)
	a.registerLedger(i)
	i.Gauge("ls_claims_open", "", "Claims whose result or release is not durable yet.",
		telemetry.Value(func() int64 { return int64(a.claims.OpenCount()) }))
	i.Counter("ls_claims", "", "Claims of non-idempotent calls by result.", telemetry.ByLabel("result", a.claims.Results))
}

func (a *accounting) registerTokenPool(i *telemetry.Instruments) {
	i.Gauge("ls_purse_tokens", "{token}", "Tokens granted to this router, by state.", func(observe telemetry.Observe) {
		var free, reserved, billed, inTransit int64
		holdings, _, ok := a.tokenPool.Holdings()
		if !ok {
			return
		}
		for _, h := range holdings {
			free, reserved, billed, inTransit = free+h.Free, reserved+h.Reserved, billed+h.Billed, inTransit+h.InTransit
		}
		observe(free, "state", "free")
		observe(reserved, "state", "reserved")
		observe(billed, "state", "billed")
		observe(inTransit, "state", "away")
	})
	i.Gauge("ls_purse_waiting_requests", "", "Requests that wait for tokens.", func(observe telemetry.Observe) {
		waiting := 0
		holdings, _, ok := a.tokenPool.Holdings()
		for _, h := range holdings {
			waiting += h.Waiting
		}
		if ok {
			observe(int64(waiting))
		}
	})
	i.Gauge("ls_purse_reservations", "", "Open reservations.", func(observe telemetry.Observe) {
		if s, ok := a.tokenPool.DrainStatus(); ok {
			observe(int64(s.Reservations))
		}
	})
	i.Gauge("ls_purse_unflushed_bills", "", "Bills that the ledger does not have yet.", func(observe telemetry.Observe) {
		if s, ok := a.tokenPool.DrainStatus(); ok {
			observe(int64(s.Bills))
		}
	})
	i.Counter("ls_purse_refusals", "", "Reservations refused, by reason.", telemetry.ByLabel("reason", a.tokenPool.Refusals))
	i.Counter("ls_purse_tokens_above_reservation", "{token}", "Tokens used above reservations; they are not billed.",
		func(observe telemetry.Observe) {
			if _, excess, ok := a.tokenPool.Holdings(); ok {
				observe(excess)
			}
		})
}

func (a *accounting) registerJournal(i *telemetry.Instruments) {
	i.Gauge("ls_journal_copies", "", "Instances of other routers whose journal this router keeps.", telemetry.Value(func() int64 {
		journals, _ := a.witness.Size()
		return int64(journals)
	}))
	i.Gauge("ls_journal_entries", "", "Entries in the journals that this router keeps for others.", telemetry.Value(func() int64 {
		_, entries := a.witness.Size()
		return int64(entries)
	}))
	i.Gauge("ls_journal_witnesses", "", "Witnesses of this router, by state.", func(observe telemetry.Observe) {
		if w, ok := a.tokenPool.WitnessStatus(witnessFailingAfter); ok {
			observe(int64(len(w.Witnesses)-len(w.Failing)), "state", "answering")
			observe(int64(len(w.Failing)), "state", "failing")
		}
	})
	i.Counter("ls_instance_closings", "", "Attempts of this router to close an instance, by result.", telemetry.ByLabel("result", func() map[string]int64 {
		if closer := a.closer.Load(); closer != nil {
			return closer.Results()
		}
		return nil
	}))
}

func (a *accounting) registerLedger(i *telemetry.Instruments) {
	i.Counter("ls_ledger_platform_calls", "", "Platform calls for ledger shards, by kind.", func(observe telemetry.Observe) {
		c := a.writer.Counts()
		observe(int64(c.Gets), "kind", "get")
		observe(int64(c.Puts), "kind", "put")
		observe(int64(c.Deletes), "kind", "delete")
	})
	i.Counter("ls_ledger_platform_failures", "", "Failed platform calls for ledger shards, by cause.", func(observe telemetry.Observe) {
		c := a.writer.Counts()
		observe(int64(c.Conflicts), "cause", "conflict")
		observe(int64(c.Uncertain), "cause", "uncertain")
		observe(int64(c.Throttled), "cause", "throttled")
		observe(int64(c.Unavailable), "cause", "unavailable")
	})
	i.Counter("ls_ledger_written", "By", "Bytes of the values of all writes of ledger shards.",
		telemetry.Value(func() int64 { return int64(a.writer.Counts().Bytes) }))
	i.Counter("ls_ledger_operations", "", "Ledger operations stored by this router.",
		telemetry.Value(func() int64 { return int64(a.writer.Counts().Ops) }))
	i.Gauge("ls_ledger_queue", "", "Calls that wait for a write of their shard, by class.", telemetry.ByLabel("class", a.writer.QueueLengths))
	i.Gauge("ls_ledger_platform_available", "", "1 if the platform answers calls for ledger shards, and 0 after repeated failures.",
		telemetry.Value(func() int64 {
			if a.writer.Available() {
				return 1
			}
			return 0
		}))
}
