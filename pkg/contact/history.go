// Package contact knows when the platform's store answers this router, from the results of the calls of all its parts.
package contact

import "time"

// minGap is the time without an answer from which a lost call in it shows a silence, although another call was answered before that one
// was given up. A router that reads the store in turn goes without an answer for shorter times.
const minGap = time.Second

// Silence is a time in which the store answered none of the router's calls.
type Silence struct {
	// Began is the time of the last answer before it, or of the first lost call if there was none. Ended is the time of the answer
	// that ended it.
	Began, Ended time.Time
}

// Length returns how long the silence was.
func (s Silence) Length() time.Duration { return s.Ended.Sub(s.Began) }

// History decides from the results of calls when the store is silent.
//
// It answers an outage that the parts of a router notice seconds apart: a watch that was sent into it is waited for until its
// timeout, while other calls are answered again. A call that is lost while others are answered, because the store is slow or loses
// single answers, is no silence.
type History struct {
	answeredAt time.Time
	// silentSince is zero unless the store is silent.
	silentSince time.Time
	last        Silence
	// gap is the last time of minGap or more between two answers.
	gap Silence
}

// Answered records that the store answered a call. It returns true if this has ended a silence.
func (h *History) Answered(now time.Time) (ended bool) {
	if !h.silentSince.IsZero() {
		h.last, ended = Silence{Began: h.silentSince, Ended: now}, true
	}
	if !h.answeredAt.IsZero() && now.Sub(h.answeredAt) >= minGap {
		h.gap = Silence{Began: h.answeredAt, Ended: now}
	}
	h.answeredAt, h.silentSince = now, time.Time{}
	return ended
}

// Lost records that a call which began at startedAt got no answer. It returns true if a silence is known from now on.
func (h *History) Lost(startedAt time.Time) (began bool) {
	if h.IsSilent() || startedAt.Before(h.answeredAt) {
		return false
	}
	if h.silentSince = h.answeredAt; h.silentSince.IsZero() {
		h.silentSince = startedAt
	}
	return true
}

// LostInGap records that a call which began at startedAt got no answer, after Lost has returned false for it. It returns true if that
// shows that the store was silent before the answer that ended the last gap.
func (h *History) LostInGap(startedAt time.Time) bool {
	if h.IsSilent() || startedAt.Before(h.gap.Began) || !startedAt.Before(h.gap.Ended) || !h.gap.Ended.After(h.last.Ended) {
		return false
	}
	h.last = h.gap
	return true
}

// IsSilent reports whether calls are lost and none has been answered since.
func (h *History) IsSilent() bool { return !h.silentSince.IsZero() }

// Last returns the last silence that has ended, the zero value if there was none.
func (h *History) Last() Silence { return h.last }
