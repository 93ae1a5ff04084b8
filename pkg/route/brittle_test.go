package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// brittleFleet simulates routers and the endpoints of one service, which are brittle.
type brittleFleet struct {
	routers, endpoints, slots int
	// waiting is the number of requests that may wait at an endpoint, and maxRejections what it bears in a second.
	waiting, maxRejections int
	// reports is set if routers get a load report of each endpoint once a second.
	reports bool
	// load is the number of arrivals relative to what the endpoints can serve.
	load float64
}

const (
	brittleTime = 16 * time.Second
	// serviceTime is how long an endpoint works on a request, answerDelay the time until a rejection is known to the router.
	serviceTime = time.Second
	answerDelay = 10 * time.Millisecond
	// fallTime is how long an endpoint that fell over is down.
	fallTime = 3 * time.Second
)

// brittleEndpoint is one endpoint of a brittleFleet.
type brittleEndpoint struct {
	name       string
	inside     int
	rejections []time.Time
	downUntil  time.Time
}

// brittleEvent is the end of a request at an endpoint, as it is known to its router.
type brittleEvent struct {
	router   int
	endpoint *brittleEndpoint
	inFlight *InFlightRequest
	sentAt   time.Time
	rejected bool
}

// run returns how often endpoints fell over, and the served requests relative to what they could have served.
func (f brittleFleet) run(seed uint64) (falls int, served float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	vms := serviceVMs(f.endpoints, f.slots)
	all := make([]*brittleEndpoint, f.endpoints)
	for i := range all {
		all[i] = &brittleEndpoint{name: vms[i].Name}
	}
	byName := map[string]*brittleEndpoint{}
	for _, e := range all {
		byName[e.name] = e
	}
	tables := make([]*Table, f.routers)
	sharers := min(f.slots, f.routers)
	notice := func(router int, e *brittleEndpoint, sentAt time.Time, rejected bool) BrittleNotice {
		n := BrittleNotice{VM: e.name, SentAt: sentAt, Brittle: true, MaxRejections: float64(f.maxRejections), Routers: f.routers, Rejected: rejected}
		offset := 0
		for i := range all {
			if all[i] == e {
				offset = i * sharers
			}
		}
		if (router-offset%f.routers+f.routers)%f.routers < sharers {
			n.Share = BrittleShare(f.slots, sharers)
		}
		return n
	}
	now := start
	for i := range tables {
		tables[i] = New(Location{}, Options{LastResort: true})
		tables[i].Update(now, vms, nil)
		for _, e := range all {
			tables[i].NameBrittle(now, notice(i, e, now, false))
		}
	}
	events := map[int64][]brittleEvent{}
	perMS := f.load * float64(f.endpoints*f.slots) / float64(serviceTime.Milliseconds())
	done, due := 0, 0.0
	for ms := range brittleTime.Milliseconds() {
		now = start.Add(time.Duration(ms) * time.Millisecond)
		for _, ev := range events[ms] {
			result := Succeeded
			switch {
			case ev.rejected:
				result = Cancelled
			case ev.endpoint.downUntil.After(ev.sentAt):
				result = Failed
			default:
				done++
				ev.endpoint.inside--
			}
			tables[ev.router].Done(now, ev.inFlight, result, 0)
			if result != Failed {
				tables[ev.router].NameBrittle(now, notice(ev.router, ev.endpoint, ev.sentAt, ev.rejected))
			}
		}
		delete(events, ms)
		if f.reports && ms%1000 == 0 {
			for _, t := range tables {
				for _, e := range all {
					t.Report(now, e.name, LoadReport{Running: min(e.inside, f.slots), Queued: max(0, e.inside-f.slots)})
				}
			}
		}
		for due += perMS; due >= 1; due-- {
			router := rng.IntN(f.routers)
			d := tables[router].Choose(now, rng, Request{Pool: Service("desk")})
			if !d.OK() {
				continue
			}
			e, ev := byName[d.Chosen], brittleEvent{router: router, sentAt: now, inFlight: tables[router].Begin(now, d)}
			ev.endpoint = e
			end := now.Add(serviceTime)
			switch {
			case now.Before(e.downUntil):
				ev.sentAt = start // Its router sees a refused connection.
				end = now.Add(answerDelay)
			case e.inside >= f.slots+f.waiting:
				ev.rejected, end = true, now.Add(answerDelay)
				e.rejections = append(e.rejections, now)
				recent := 0
				for _, at := range e.rejections {
					if now.Sub(at) < time.Second {
						recent++
					}
				}
				if recent > f.maxRejections {
					falls++
					e.downUntil, e.inside, e.rejections = now.Add(fallTime), 0, nil
				}
			default:
				e.inside++
			}
			at := end.Sub(start).Milliseconds()
			events[at] = append(events[at], ev)
		}
	}
	return falls, float64(done) / (brittleTime.Seconds() * float64(f.endpoints*f.slots) / serviceTime.Seconds())
}

// Guards against routers that bring brittle endpoints down together, whatever their number, under several times the load that the
// endpoints have room for; and against endpoints that stay idle meanwhile.
func TestRoutersTogetherKeepBrittleEndpointsUp(t *testing.T) {
	for _, f := range []brittleFleet{
		{routers: 1, endpoints: 3, slots: 6, waiting: 2, maxRejections: 1, load: 4},
		{routers: 7, endpoints: 3, slots: 6, waiting: 2, maxRejections: 1, load: 4},
		{routers: 7, endpoints: 9, slots: 64, waiting: 8, maxRejections: 16, load: 4, reports: true},
		{routers: 7, endpoints: 9, slots: 64, waiting: 0, maxRejections: 16, load: 2, reports: true},
		{routers: 7, endpoints: 9, slots: 64, waiting: 8, maxRejections: 16, load: 4},
		{routers: 88, endpoints: 40, slots: 12, waiting: 2, maxRejections: 3, load: 3},
		{routers: 295, endpoints: 40, slots: 16, waiting: 2, maxRejections: 4, load: 3},
	} {
		t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) {
			falls, served := f.run(7)
			must.LessEq(t, 2+f.endpoints/10, falls)
			must.Greater(t, 0.5, served, must.Sprint("share of what the endpoints can serve"))
		})
	}
}

// Guards against stopping the content of requests that were in progress when a brittle endpoint fell over under rejections, and
// against overlooking content that crashes an endpoint which is only said to be brittle.
func TestFallUnderRejectionsIsExplained(t *testing.T) {
	table := New(Location{}, Options{})
	table.Update(start, serviceVMs(1, 6), nil)
	d := table.Choose(start, newRand(), Request{Pool: Service("desk")})
	f := table.Begin(start, d)
	must.False(t, table.IsFallExplained(start, f))
	notice := BrittleNotice{VM: "s0", SentAt: start, Brittle: true, MaxRejections: 4, Share: 2, Routers: 7}
	table.NameBrittle(start, notice)
	must.False(t, table.IsFallExplained(start, f), must.Sprint("nothing was rejected"))
	notice.Rejected = true
	table.NameBrittle(start, notice)
	must.True(t, table.IsFallExplained(start.Add(time.Second), f))
	must.False(t, table.IsFallExplained(start.Add(blamedRejectionAge+time.Second), f))
}
