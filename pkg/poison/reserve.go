package poison

import "time"

// Attempt identifies one use of an exclusive right.
type Attempt struct {
	// Holder is the router instance that uses the right.
	Holder string
	Number uint64
}

type reservation struct {
	attempt Attempt
	expires time.Time
}

// reservations are the exclusive rights that this router has granted as their owner. They end by release, by the
// holder's failure or, at the latest, when no request can still be running.
type reservations struct {
	held map[string]reservation
	life time.Duration
}

func newReservations(life time.Duration) *reservations {
	return &reservations{held: map[string]reservation{}, life: life}
}

// reserve grants the key if no other attempt holds it.
func (r *reservations) reserve(now time.Time, key string, a Attempt) bool {
	if held, ok := r.held[key]; ok && held.attempt != a && now.Before(held.expires) {
		return false
	}
	r.held[key] = reservation{attempt: a, expires: now.Add(r.life)}
	return true
}

func (r *reservations) release(key string, a Attempt) {
	if r.held[key].attempt == a {
		delete(r.held, key)
	}
}

// expire drops the reservations that are over and those of failed holders.
func (r *reservations) expire(now time.Time, failed func(holder string) bool) {
	for key, held := range r.held {
		if !now.Before(held.expires) || failed(held.attempt.Holder) {
			delete(r.held, key)
		}
	}
}
