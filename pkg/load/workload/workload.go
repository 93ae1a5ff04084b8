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
	// At is the time from the start of the run at which the request should be sent.
	At  time.Duration
	Key string
	// Caller is the index of the caller within the mix.
	Caller int
	Body   []byte
	// Chat is the chat completion in Body; nil for a call to a service.
	Chat *engine.ChatRequest
	// Expected is the whole text of the answer to a chat completion.
	Expected string
	// Tokens is the number of tokens of the whole answer.
	Tokens int
	// WholeCharge is the charge for the whole answer in tokens. MaxCharge is the charge with the prompt at its upper
	// bound, and UpperBound is the charge with the output at its limit as well.
	WholeCharge int64
	MaxCharge   int64
	UpperBound  int64
	// HangUpAfter is the number of tokens after which the caller closes the connection, -1 if it reads the whole
	// answer.
	HangUpAfter int
}

// Source generates the items of one mix in the order of their times.
type Source struct {
	scenario *scenario.Scenario
	mix      *scenario.Mix
	runID    string
	random   *rand.Rand
	prefixes []string
	// nextAt is the time of the next item from the start of the run.
	nextAt time.Duration
	// generated is the number of items so far.
	generated int
	// inBurst is the number of items so far in the current burst. All items of a burst have the same time.
	inBurst int
}

// NewSource returns a source for the mix at the index. runID is part of the idempotency keys, so that runs with the
// same seed have different keys.
func NewSource(s *scenario.Scenario, index int, runID string) *Source {
	source := &Source{scenario: s, mix: &s.Mixes[index], runID: runID, random: rand.New(rand.NewPCG(s.Seed, uint64(index)))}
	for range source.mix.Prefixes {
		source.prefixes = append(source.prefixes, source.randomText(source.mix.PrefixTokens))
	}
	source.nextAt = source.mix.From + source.interval()
	return source
}

// interval returns a random time between two bursts, exponentially distributed so that the mix has its mean rate.
func (s *Source) interval() time.Duration {
	rate := s.mix.Rate * s.scenario.Rate / float64(s.mix.Burst)
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// Next returns the next item, or false after the last one.
func (s *Source) Next() (Item, bool) {
	end := s.scenario.Duration
	if s.mix.Until > 0 && s.mix.Until < end {
		end = s.mix.Until
	}
	if s.nextAt >= end || (s.mix.Limit > 0 && s.generated >= s.mix.Limit) {
		return Item{}, false
	}
	s.generated++
	item := Item{
		Mix: s.mix, At: s.nextAt, Key: fmt.Sprintf("%s-%s-%d", s.runID, s.mix.Name, s.generated),
		Caller: s.random.IntN(s.mix.Callers), HangUpAfter: -1,
	}
	s.inBurst++
	if s.inBurst >= s.mix.Burst {
		s.inBurst = 0
		s.nextAt += s.interval()
	}
	if s.mix.Service != "" {
		item.Body = marshal(map[string]any{"call": item.Key, "note": s.randomText(8)})
		return item, true
	}
	s.addChat(&item)
	return item, true
}

// addChat adds a random chat completion to the item, with the expected answer and charges.
func (s *Source) addChat(item *Item) {
	prompt := s.randomText(s.randomInt(s.mix.PromptTokens))
	if len(s.prefixes) > 0 {
		prompt = s.prefixes[s.random.IntN(len(s.prefixes))] + prompt
	}
	request := engine.ChatRequest{
		Model: s.scenario.Model, Stream: s.mix.Stream, MaxTokens: s.randomInt(s.mix.OutputTokens), Seed: s.random.Uint64() >> 12,
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

// promptBound returns the documented upper bound of a prompt in tokens: the bytes of all roles and contents, each with
// a line end, divided by the bytes per token, plus a constant for each message.
func promptBound(messages []engine.Message, bytesPerToken int) int {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Role) + len(m.Content) + 2
	}
	return relay.PromptBound(bytes, len(messages), bytesPerToken)
}

// randomInt returns a uniformly distributed number of the range, including both ends.
func (s *Source) randomInt(r scenario.Range) int { return r.Min + s.random.IntN(r.Max-r.Min+1) }

var words = []string{"hub ", "bike ", "ride ", "shift ", "clamp ", "depot ", "north ", "south ", "hotel ", "guest ", "crate ", "route "}

// randomText returns about n tokens of random words.
func (s *Source) randomText(n int) string {
	var b strings.Builder
	for b.Len() < n*engine.BytesPerToken {
		b.WriteString(words[s.random.IntN(len(words))])
	}
	return b.String()
}

func marshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("workload: cannot encode request: " + err.Error())
	}
	return data
}
