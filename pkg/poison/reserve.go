package poison

import "time"

// Attempt identifies one isolated run of a suspect, which holds the reservations of its keys.
type Attempt struct {
	// Holder is the router instance that runs the suspect.
	Holder string
	// Number is unique among the attempts of the holder.
	Number uint64
}

type reservation struct {
	attempt Attempt
	expires time.Time
}

// reservations holds the exclusive reservations that this router has granted, by key. A reservation ends when it is
// released, when its holder fails or, at the latest, after the lifetime, when no request can still be running.
type reservations struct {
	held     map[string]reservation
	lifetime time.Duration
}

func newReservations(lifetime time.Duration) *reservations {
	return &reservations{held: map[string]reservation{}, lifetime: lifetime}
}

// reserve grants the key to the attempt and reports true unless another attempt holds it. Granting it again to the same
// attempt extends the reservation.
func (r *reservations) reserve(now time.Time, key string, a Attempt) bool {
	if existing, ok := r.held[key]; ok && existing.attempt != a && now.Before(existing.expires) {
		return false
	}
	r.held[key] = reservation{attempt: a, expires: now.Add(r.lifetime)}
	return true
}

func (r *reservations) release(key string, a Attempt) {
	if r.held[key].attempt == a {
		delete(r.held, key)
	}
}

// expire removes the expired reservations and those of failed holders.
func (r *reservations) expire(now time.Time, failed func(holder string) bool) {
	for key, existing := range r.held {
		if !now.Before(existing.expires) || failed(existing.attempt.Holder) {
			delete(r.held, key)
		}
	}
}
