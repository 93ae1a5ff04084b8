// Package workload generates requests from the mixes of a scenario. The same seed gives the same requests.
package workload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/load/scenario"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
)

// Item is one request to be sent.
type Item struct {
	Mix *scenario.Mix
	// At is the intended time from the start of the run.
	At  time.Duration
	Key string
	// Caller is the number of the caller within the mix.
	Caller int
	Body   []byte
	// Chat is the chat completion in Body; nil for a call to a service.
	Chat *engine.ChatRequest
	// Expected is the whole text of the answer to a chat completion.
	Expected string
	Tokens   int
	// Whole is the charge of the whole answer, MaxCharge that with the prompt at its bound and UpperBound that with
	// the output at its limit too, in tokens.
	WholeCharge int64
	MaxCharge   int64
	UpperBound  int64
	// HangUpAfter is the number of tokens after which the caller hangs up; -1 means that it does not.
	HangUpAfter int
}

// Source generates the items of one mix in the order of their times.
type Source struct {
	scenario *scenario.Scenario
	mix      *scenario.Mix
	run      string
	random   *rand.Rand
	prefixes []string
	next     time.Duration
	made     int
	burst    int
}

// NewSource returns a source for the mix at the index. run tells runs with the same seed apart in idempotency keys.
func NewSource(s *scenario.Scenario, index int, run string) *Source {
	source := &Source{scenario: s, mix: &s.Mixes[index], run: run, random: rand.New(rand.NewPCG(s.Seed, uint64(index)))}
	for range source.mix.Prefixes {
		source.prefixes = append(source.prefixes, source.text(source.mix.PrefixTokens))
	}
	source.next = source.mix.From + source.gap()
	return source
}

// gap draws the time between two arrivals.
func (s *Source) gap() time.Duration {
	rate := s.mix.Rate * s.scenario.Rate / float64(s.mix.Burst)
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// Next returns the next item, or false after the last one.
func (s *Source) Next() (Item, bool) {
	end := s.scenario.Duration
	if s.mix.Until > 0 && s.mix.Until < end {
		end = s.mix.Until
	}
	if s.next >= end || (s.mix.Limit > 0 && s.made >= s.mix.Limit) {
		return Item{}, false
	}
	s.made++
	item := Item{
		Mix: s.mix, At: s.next, Key: fmt.Sprintf("%s-%s-%d", s.run, s.mix.Name, s.made),
		Caller: s.random.IntN(s.mix.Callers), HangUpAfter: -1,
	}
	s.burst++
	if s.burst >= s.mix.Burst {
		s.burst = 0
		s.next += s.gap()
	}
	if s.mix.Service != "" {
		item.Body = marshal(map[string]any{"call": item.Key, "note": s.text(8)})
		return item, true
	}
	s.chat(&item)
	return item, true
}

func (s *Source) chat(item *Item) {
	prompt := s.text(s.draw(s.mix.PromptTokens))
	if len(s.prefixes) > 0 {
		prompt = s.prefixes[s.random.IntN(len(s.prefixes))] + prompt
	}
	request := engine.ChatRequest{
		Model: s.scenario.Model, Stream: s.mix.Stream, MaxTokens: s.draw(s.mix.OutputTokens), Seed: s.random.Uint64() >> 12,
		Messages: []engine.Message{{Role: "user", Content: s.mix.Marker + prompt + " " + item.Key}},
	}
	answer := engine.AnswerTo(request)
	item.Chat, item.Body = &request, marshal(request)
	item.Expected, item.Tokens = answer.Text(0), answer.Tokens
	item.WholeCharge = int64(engine.PromptTokens(request.Messages) + answer.Tokens)
	bound := promptBound(request.Messages, s.scenario.BytesPerToken)
	item.MaxCharge, item.UpperBound = int64(bound+answer.Tokens), int64(bound+request.MaxTokens)
	if s.mix.HangUp > 0 && s.random.Float64() < s.mix.HangUp {
		item.HangUpAfter = s.random.IntN(answer.Tokens)
	}
}

// promptBound is the documented bound of a prompt: bytes of roles and contents, each with a line end, divided by
// the bytes per token, and a constant for each message.
func promptBound(messages []engine.Message, bytesPerToken int) int {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Role) + len(m.Content) + 2
	}
	return relay.PromptBound(bytes, len(messages), bytesPerToken)
}

func (s *Source) draw(r scenario.Range) int { return r.Min + s.random.IntN(r.Max-r.Min+1) }

var words = []string{"hub ", "bike ", "ride ", "shift ", "clamp ", "depot ", "north ", "south ", "hotel ", "guest ", "crate ", "route "}

// text returns about n tokens of text.
func (s *Source) text(n int) string {
	var b strings.Builder
	for b.Len() < n*engine.BytesPerToken {
		b.WriteString(words[s.random.IntN(len(words))])
	}
	return b.String()
}

func marshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("work: a request can't be encoded: " + err.Error())
	}
	return data
}
