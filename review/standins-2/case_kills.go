package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// killedPrepaid is the total of the organisation in playKills, and killedMost what a request of it takes at most.
	killedPrepaid = 2_600_000
	killedMost    = promptTokens + outputTokens
	// killedFor is the time of the load, killedPerSecond its streams a second.
	killedFor       = 60 * time.Second
	killedPerSecond = 24
	// killEvery is the time between two kills of a process, and killDown the time until it starts again.
	killEvery = 4 * time.Second
	killDown  = 500 * time.Millisecond
	// contactTime is contact_ms, settleTime settle_ms.
	contactTime = 3 * time.Second
	settleTime  = 1500 * time.Millisecond
	// usableShare is the part of the total into which a request has to fit to be owed.
	usableShare = 0.97
)

// budgetView is what callers can know of an organisation's use: what was delivered, and what requests take at their most that are in progress
// or have ended within settleTime.
type budgetView struct {
	mu        sync.Mutex
	delivered int64
	open      int64
	denied    []string
	requests  int
	served    int
}

// begin counts a request.
func (b *budgetView) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.open += killedMost
}

// end counts the answer of a request that was sent to a router in touch or not. It returns whether the request was denied although it
// fitted.
func (b *budgetView) end(a *answer, inTouch bool) (denied bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	time.AfterFunc(settleTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.open -= killedMost
	})
	if a.isSuccess() {
		b.served++
	}
	if a.status == http.StatusOK {
		b.delivered += promptTokens + int64(a.events()*tokensPerEvent)
	}
	isOwn := a.status >= 300 && a.status < 500 && a.header.Get("Response-Signature") == ""
	return isOwn && inTouch && float64(b.delivered+b.open) <= usableShare*killedPrepaid
}

// lastWriter returns the router that last wrote the budget of the organisation in the store, by the marks of the record before.
func (f *fleet) lastWriter(before map[string]string) (*router, map[string]string) {
	var record struct {
		Marks map[string]string `json:"marks"`
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	object, err := f.memory.Get(ctx, "allowances/"+organisation)
	if err != nil || json.Unmarshal(object.Value, &record) != nil {
		return nil, before
	}
	for _, r := range f.routers {
		if record.Marks[r.name] != before[r.name] {
			return r, record.Marks
		}
	}
	return nil, before
}

// playKills kills the process of one VM after the other, that which last wrote to the store under a condition, under the load of one
// organisation. The organisation's total is more than it uses in the whole time.
func playKills(f *fleet, trouble bool) (broken bool, err error) {
	view := &budgetView{}
	var mu sync.Mutex
	startedAt := map[*router]time.Time{}
	inTouch := func(r *router, now time.Time) bool {
		mu.Lock()
		defer mu.Unlock()
		return now.Sub(startedAt[r]) > contactTime
	}
	end := time.Now().Add(killedFor)
	var callers sync.WaitGroup
	callers.Go(func() {
		ticker := time.NewTicker(time.Second / killedPerSecond)
		defer ticker.Stop()
		denied := 0
		for n := 0; time.Now().Before(end); n++ {
			<-ticker.C
			callers.Go(func() {
				r, id := f.routers[n%len(f.routers)], fmt.Sprintf("stream-%d", n)
				view.begin()
				sentAt := time.Now()
				a := send(r.callers, callerRequest{method: "POST", path: streamPath + "x", id: id, deadline: 5 * time.Second, header: promptHeader(), body: "text"})
				if !view.end(a, inTouch(r, sentAt) && inTouch(r, time.Now())) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if denied++; denied <= 5 {
					f.printf("%s at %s, which is in touch: %v, %s; %d of %d tokens were delivered", id, r.name, a, a.body, view.delivered, killedPrepaid)
				}
				view.denied = append(view.denied, id)
			})
		}
	})
	marks := map[string]string{}
	for trouble && time.Now().Add(2*killEvery).Before(end) {
		time.Sleep(killEvery)
		var r *router
		for r == nil && time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
			r, marks = f.lastWriter(marks)
		}
		if r == nil {
			break
		}
		f.printf("%s, which has just written, is killed", r.name)
		mu.Lock()
		startedAt[r] = time.Now().Add(time.Hour) // Out of touch until it has started again.
		mu.Unlock()
		r.kill()
		time.Sleep(killDown)
		if err := f.runRouter(r, false); err != nil {
			return false, err
		}
		mu.Lock()
		startedAt[r] = time.Now()
		mu.Unlock()
	}
	callers.Wait()
	f.printf("%d requests, %d served, %d of %d tokens delivered, %d requests that fitted were denied by routers in touch",
		view.requests, view.served, view.delivered, killedPrepaid, len(view.denied))
	if !trouble && view.served < view.requests*9/10 {
		return false, fmt.Errorf("without the disturbance only %d of %d requests are served", view.served, view.requests)
	}
	return len(view.denied) > 5+view.requests/500, nil
}
