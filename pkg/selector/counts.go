package selector

import "time"

// Decisions returns the number of routing decisions by reason.
func (s *Selector) Decisions() map[string]int64 { return s.decisions.Counts() }

// PromptTokens returns the prompt tokens of the requests for which an endpoint was chosen, and how many of them were
// expected to be in its prefix cache.
func (s *Selector) PromptTokens() (all, cached int64) {
	return s.promptTokens.Load(), s.cachedTokens.Load()
}

type statesMessage struct{ reply chan map[string]int64 }

// States returns the number of endpoints by state. The result is empty after Run has ended.
func (s *Selector) States() map[string]int64 {
	m := statesMessage{reply: make(chan map[string]int64, 1)}
	if !s.send(m) {
		return nil
	}
	select {
	case states := <-m.reply:
		return states
	case <-s.stopped:
		return nil
	}
}

func (m statesMessage) handle(s *Selector, now time.Time) { m.reply <- s.table.CountByState(now) }
