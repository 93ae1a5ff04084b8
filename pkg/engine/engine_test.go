package engine

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	tokenTime   = 10 * time.Millisecond
	prefillTime = time.Millisecond
)

// withEngine runs the test with an engine in a synctest bubble, which has a fake clock.
func withEngine(t *testing.T, configure func(*Config), test func(t *testing.T, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		config := DefaultConfig("m")
		config.TokenTime, config.PrefillTime = tokenTime, prefillTime
		if configure != nil {
			configure(&config)
		}
		e, err := New(config)
		must.NoError(t, err)
		defer e.Close()
		test(t, e)
	})
}

type result struct {
	chunks   []Chunk
	usage    Usage
	finish   string
	err      error
	duration time.Duration
}

// text returns the text of the chunks.
func (r result) text() string {
	var text strings.Builder
	for _, chunk := range r.chunks {
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String()
}

// startRequest admits a request, runs it in the background and returns the channel of its result.
func startRequest(t *testing.T, e *Engine, request ChatRequest) <-chan result {
	t.Helper()
	startTime := time.Now()
	r, err := e.Admit(context.Background(), Origin{Organisation: "o", IdempotencyKey: "k"}, request)
	must.NoError(t, err)
	done := make(chan result, 1)
	go func() {
		var got result
		got.usage, got.finish, got.err = e.Run(r, func(chunk Chunk) error {
			got.chunks = append(got.chunks, chunk)
			return nil
		})
		got.duration = time.Since(startTime)
		done <- got
	}()
	return done
}

func newRequest(id, text string, tokens int) ChatRequest {
	return ChatRequest{Model: "m", RequestID: id, MaxTokens: tokens, Stream: true, Messages: []Message{{Role: "user", Content: text}}}
}

// Guards against a resumed answer that differs from the rest of the whole answer or that skips or repeats a token.
func TestResumeContinues(t *testing.T) {
	withEngine(t, nil, func(t *testing.T, e *Engine) {
		request := newRequest("r", "hello", 20)
		answer := AnswerTo(request)
		whole := <-startRequest(t, e, request)
		must.NoError(t, whole.err)
		must.Eq(t, answer.Text(0), whole.text())
		must.Eq(t, answer.Tokens, whole.usage.CompletionTokens)
		must.Eq(t, answer.Finish, whole.finish)
		for i, chunk := range whole.chunks {
			must.Eq(t, "r", chunk.ID)
			must.Eq(t, i, chunk.Index)
		}
		request.ResumeFrom = 7
		rest := <-startRequest(t, e, request)
		must.Eq(t, answer.Text(7), rest.text())
		must.Eq(t, whole.usage, rest.usage)
		must.Eq(t, 7, rest.chunks[0].Index)
		request.ResumeFrom = answer.Tokens + 1
		_, err := e.Admit(context.Background(), Origin{}, request)
		must.ErrorContains(t, err, "resume_from")
	})
}

// Guards against an answer that depends on anything but the request.
func TestAnswerDependsOnRequest(t *testing.T) {
	base := newRequest("r", "hello", 20)
	other := base
	other.RequestID, other.Priority = "x", 9
	must.Eq(t, AnswerTo(base), AnswerTo(other))
	other.Seed = 1
	must.NotEq(t, AnswerTo(base).Text(0), AnswerTo(other).Text(0))
	must.NotEq(t, AnswerTo(base).Text(0), AnswerTo(newRequest("r", "hallo", 20)).Text(0))
	for limit := 1; limit < 200; limit++ {
		answer := AnswerTo(newRequest("r", "hello", limit))
		must.Between(t, (limit+1)/2, answer.Tokens, limit)
		must.Eq(t, answer.Tokens == limit, answer.Finish == FinishLength)
	}
}

// Guards against more running requests than slots, a queue that ignores priorities, and an unbounded queue.
func TestSlotsAndPriorities(t *testing.T) {
	configure := func(c *Config) { c.Slots, c.QueueLimit, c.PrefillTime = 2, 3, 0 }
	withEngine(t, configure, func(t *testing.T, e *Engine) {
		var results []<-chan result
		for i, priority := range []int{0, 0, 1, 5, 5} {
			request := newRequest(string(rune('a'+i)), "x", 1)
			request.Priority = priority
			results = append(results, startRequest(t, e, request))
		}
		_, err := e.Admit(context.Background(), Origin{}, newRequest("f", "x", 1))
		var refused *RefusedError
		must.True(t, asRefused(err, &refused))
		must.Eq(t, 429, refused.Status)
		var durations []time.Duration
		for _, done := range results {
			durations = append(durations, (<-done).duration/tokenTime)
		}
		must.Eq(t, []time.Duration{1, 1, 3, 2, 2}, durations)
		must.Len(t, 5, e.Records(0).Records)
	})
}

// Guards against a prefill time that ignores the prefix cache or Speed.
func TestPrefillTime(t *testing.T) {
	configure := func(c *Config) { c.Speed = 2 }
	withEngine(t, configure, func(t *testing.T, e *Engine) {
		text := strings.Repeat("abcd", 100)
		first := <-startRequest(t, e, newRequest("a", text, 1))
		must.Eq(t, (104*prefillTime+tokenTime)/2, first.duration)
		second := <-startRequest(t, e, newRequest("b", text+"other", 1))
		must.Eq(t, 6*BlockTokens, second.usage.PromptDetails.CachedTokens)
		must.Eq(t, (106-6*BlockTokens)*prefillTime/2+tokenTime/2, second.duration)
	})
}

// Guards against a Cancel that leaves the request running, doesn't release its slot or isn't recorded.
func TestCancel(t *testing.T) {
	configure := func(c *Config) { c.Slots = 1 }
	withEngine(t, configure, func(t *testing.T, e *Engine) {
		running := startRequest(t, e, newRequest("a", "x", 100))
		queued := startRequest(t, e, newRequest("b", "x", 100))
		time.Sleep(5*tokenTime + 5*prefillTime + time.Millisecond)
		must.Eq(t, 1, e.Cancel("b"))
		must.Eq(t, FinishCancelled, (<-queued).finish)
		must.Eq(t, 1, e.Cancel("a"))
		got := <-running
		must.Eq(t, FinishCancelled, got.finish)
		must.Eq(t, 5, got.usage.CompletionTokens)
		must.Eq(t, 0, e.Cancel("a"))
		records := e.Records(0).Records
		must.Eq(t, "o", records[0].Organisation)
		must.Eq(t, "k", records[0].IdempotencyKey)
		must.Eq(t, 5, records[0].Tokens)
		must.Eq(t, EndCancelled, records[0].End)
		must.True(t, records[1].StartedAt.IsZero())
		must.NoError(t, (<-startRequest(t, e, newRequest("c", "x", 1))).err)
	})
}

// Guards against an imported KV cache that doesn't save the prefill, or that is used for another prompt or twice.
func TestKVTransfer(t *testing.T) {
	withEngine(t, nil, func(t *testing.T, from *Engine) {
		to, err := New(from.config)
		must.NoError(t, err)
		text := strings.Repeat("abcd", 50)
		running := startRequest(t, from, newRequest("r", text, 40))
		_, err = from.ExportKV("r")
		must.Error(t, err)
		time.Sleep(54*prefillTime + 10*tokenTime + 1)
		export, err := from.ExportKV("r")
		must.NoError(t, err)
		from.Cancel("r")
		must.Eq(t, 10, (<-running).usage.CompletionTokens)
		must.NoError(t, to.ImportKV(export))
		must.Error(t, to.ImportKV(KVExport{Blob: "e30="}))
		request := newRequest("r", text, 40)
		request.ResumeFrom = 10
		resumed := <-startRequest(t, to, request)
		must.Eq(t, AnswerTo(request).Text(10), resumed.text())
		must.Eq(t, time.Duration(AnswerTo(request).Tokens-10)*tokenTime, resumed.duration)
		must.NoError(t, to.ImportKV(export))
		other := newRequest("r", "y", 2)
		must.Eq(t, 5, int(((<-startRequest(t, to, other)).duration-time.Duration(AnswerTo(other).Tokens)*tokenTime)/prefillTime))
	})
}

// Guards against load reports that are newer than LoadLag.
func TestLoadLag(t *testing.T) {
	configure := func(c *Config) { c.Slots, c.LoadLag = 1, 500*time.Millisecond }
	withEngine(t, configure, func(t *testing.T, e *Engine) {
		first := startRequest(t, e, newRequest("a", "x", 100))
		second := startRequest(t, e, newRequest("b", "x", 1))
		must.Eq(t, Load{AgeMS: 500}, e.Load())
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, Load{Running: 1, Queued: 1, AgeMS: 500}, e.Load())
		<-first
		<-second
		must.Eq(t, 1, e.Load().Running)
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 0, e.Load().Running)
	})
}
