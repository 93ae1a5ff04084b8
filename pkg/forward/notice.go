package forward

import (
	"time"

	"github.com/apex/log"

	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// Notice is what an endpoint says in an answer about the requests that it takes.
type Notice struct {
	// RequestsPerSecond is the number of requests a second that it takes from all routers together, if Limited is set.
	RequestsPerSecond float64
	Limited           bool
	// MaxRejections is the number of requests that it can reject in a second for want of room, from all routers together, if
	// Brittle is set. It fails if it has to reject more.
	MaxRejections float64
	Brittle       bool
	// ColdRemaining is how long the endpoint stays cold, 0 if it isn't or says nothing of this.
	ColdRemaining time.Duration
	// Leaving is set if the endpoint leaves: it takes no new requests soon.
	Leaving bool
	// Pause is how long the endpoint wants no requests of this router after one that it has rejected, 0 if it asks for no pause.
	Pause time.Duration
	// Invalid are the parts of the notice that can't be read and are ignored.
	Invalid []string
}

// Answer is an endpoint's answer as far as the choice of endpoints depends on it.
type Answer struct {
	VM string
	// SentAt is the time at which the request was sent, Status the answer's status.
	SentAt time.Time
	Status int
	// Rejected is set if the endpoint has not run the request.
	Rejected bool
	Notice   Notice
}

// NewAnswer returns the answer of the VM to a request that was sent at sentAt.
func NewAnswer(d Dialect, vm string, sentAt time.Time, r *upstream.Response) Answer {
	return Answer{VM: vm, SentAt: sentAt, Status: r.Status, Rejected: d.NotRun(r.Status, r.Header), Notice: d.Notice(r.Status, r.Header)}
}

// RecordAnswer records what an endpoint's answer says about the requests that it takes, and logs what has changed.
func (p *Placement) RecordAnswer(a Answer, logger log.Interface) {
	if len(a.Notice.Invalid) > 0 {
		if skipped, ok := p.invalidNotices.Allow(time.Now()); ok {
			logger.WithFields(log.Fields{"endpoint": a.VM, "status": a.Status, "ignored": a.Notice.Invalid, "lines_left_out": skipped}).Warn("endpoint_notice_invalid")
		}
	}
	share := 0.0
	if a.Notice.Limited && p.LimitShare != nil {
		share = p.LimitShare(a.VM, a.Notice.RequestsPerSecond)
	}
	brittleShare, routers := 1, 1
	if a.Notice.Brittle && p.BrittleShare != nil {
		brittleShare, routers = p.BrittleShare(a.VM)
	}
	p.owner.Post(func(t *table) {
		now := time.Now()
		p.recordLimit(t, now, a, share, logger)
		p.recordBrittle(t, now, a, brittleShare, routers, logger)
		p.recordLeaving(t, now, a, logger)
		p.recordPause(t, now, a, logger)
		t.NameCold(now, a.VM, a.Notice.ColdRemaining)
		p.logCold(t)
	})
}

func (p *Placement) recordLimit(t *table, now time.Time, a Answer, share float64, logger log.Interface) {
	changed := false
	if a.Notice.Limited {
		changed = t.NameLimit(now, a.VM, a.Notice.RequestsPerSecond, share)
	} else {
		changed = t.NameNoLimit(now, a.VM, a.SentAt)
	}
	if changed {
		logger.WithFields(log.Fields{
			"endpoint": a.VM, "status": a.Status, "per_second": a.Notice.RequestsPerSecond, "share": share, "named": a.Notice.Limited,
		}).Info("endpoint_limit")
	}
}

func (p *Placement) recordBrittle(t *table, now time.Time, a Answer, share, routers int, logger log.Interface) {
	changed := t.NameBrittle(now, route.BrittleNotice{
		VM: a.VM, SentAt: a.SentAt, Brittle: a.Notice.Brittle, MaxRejections: a.Notice.MaxRejections, Share: share, Routers: routers, Rejected: a.Rejected,
	})
	if changed {
		logger.WithFields(log.Fields{
			"endpoint": a.VM, "status": a.Status, "brittle": a.Notice.Brittle, "max_rejections": a.Notice.MaxRejections, "share": share, "routers": routers,
		}).Info("endpoint_brittle")
	}
}

func (p *Placement) recordLeaving(t *table, now time.Time, a Answer, logger log.Interface) {
	if a.Notice.Leaving && t.AnnounceLeaving(now, a.VM) {
		logger.WithFields(log.Fields{"endpoint": a.VM, "status": a.Status}).Info("endpoint_leaving")
	}
}

func (p *Placement) recordPause(t *table, now time.Time, a Answer, logger log.Interface) {
	if a.Notice.Pause > 0 && t.Pause(now, a.VM, a.Notice.Pause) {
		logger.WithFields(log.Fields{"endpoint": a.VM, "status": a.Status, "pause_ms": a.Notice.Pause.Milliseconds()}).Info("endpoint_pause")
	}
}
