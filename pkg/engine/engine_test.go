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

// bubble runs the test with an engine under a fake clock.
func bubble(t *testing.T, change func(*Config), test func(t *testing.T, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		config := DefaultConfig("m")
		config.TokenTime, config.PrefillTime = tokenTime, prefillTime
		if change != nil {
			change(&config)
		}
		e, err := New(config)
		must.NoError(t, err)
		defer e.Close()
		test(t, e)
	})
}

type result struct {
	chunks []Chunk
	usage  Usage
	finish string
	err    error
	took   time.Duration
}

// text returns the text of the chunks.
func (r result) text() string {
	var text strings.Builder
	for _, chunk := range r.chunks {
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return text.String()
}

// start admits a request and returns the channel of its result.
func start(t *testing.T, e *Engine, request ChatRequest) <-chan result {
	t.Helper()
	begin := time.Now()
	r, err := e.Admit(context.Background(), Origin{Organisation: "o", IdempotencyKey: "k"}, request)
	must.NoError(t, err)
	done := make(chan result, 1)
	go func() {
		var got result
		got.usage, got.finish, got.err = e.Run(r, func(chunk Chunk) error {
			got.chunks = append(got.chunks, chunk)
			return nil
		})
		got.took = time.Since(begin)
		done <- got
	}()
	return done
}

func prompt(id, text string, tokens int) ChatRequest {
	return ChatRequest{Model: "m", RequestID: id, MaxTokens: tokens, Stream: true, Messages: []Message{{Role: "user", Content: text}}}
}

// Guards against a resumed answer that differs from the whole one, skips a token or repeats one.
func TestResumeContinues(t *testing.T) {
	bubble(t, nil, func(t *testing.T, e *Engine) {
		request := prompt("r", "hello", 20)
		answer := AnswerTo(request)
		whole := <-start(t, e, request)
		must.NoError(t, whole.err)
		must.Eq(t, answer.Text(0), whole.text())
		must.Eq(t, answer.Tokens, whole.usage.CompletionTokens)
		must.Eq(t, answer.Finish, whole.finish)
		for i, chunk := range whole.chunks {
			must.Eq(t, "r", chunk.ID)
			must.Eq(t, i, chunk.Index)
		}
		request.ResumeFrom = 7
		rest := <-start(t, e, request)
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
	base := prompt("r", "hello", 20)
	other := base
	other.RequestID, other.Priority = "x", 9
	must.Eq(t, AnswerTo(base), AnswerTo(other))
	other.Seed = 1
	must.NotEq(t, AnswerTo(base).Text(0), AnswerTo(other).Text(0))
	must.NotEq(t, AnswerTo(base).Text(0), AnswerTo(prompt("r", "hallo", 20)).Text(0))
	for limit := 1; limit < 200; limit++ {
		answer := AnswerTo(prompt("r", "hello", limit))
		must.Between(t, (limit+1)/2, answer.Tokens, limit)
		must.Eq(t, answer.Tokens == limit, answer.Finish == FinishLength)
	}
}

// Guards against more running requests than slots, a queue that ignores priorities, and one without a bound.
func TestSlotsAndPriorities(t *testing.T) {
	change := func(c *Config) { c.Slots, c.QueueLimit, c.PrefillTime = 2, 3, 0 }
	bubble(t, change, func(t *testing.T, e *Engine) {
		var results []<-chan result
		for i, priority := range []int{0, 0, 1, 5, 5} {
			request := prompt(string(rune('a'+i)), "x", 1)
			request.Priority = priority
			results = append(results, start(t, e, request))
		}
		_, err := e.Admit(context.Background(), Origin{}, prompt("f", "x", 1))
		var refused *RefusedError
		must.True(t, asRefused(err, &refused))
		must.Eq(t, 429, refused.Status)
		var took []time.Duration
		for _, done := range results {
			took = append(took, (<-done).took/tokenTime)
		}
		must.Eq(t, []time.Duration{1, 1, 3, 2, 2}, took)
		must.Len(t, 5, e.Records(0).Records)
	})
}

// Guards against a prefill whose time ignores the prefix cache or the speed.
func TestPrefillTime(t *testing.T) {
	change := func(c *Config) { c.Speed = 2 }
	bubble(t, change, func(t *testing.T, e *Engine) {
		text := strings.Repeat("abcd", 100)
		first := <-start(t, e, prompt("a", text, 1))
		must.Eq(t, (104*prefillTime+tokenTime)/2, first.took)
		second := <-start(t, e, prompt("b", text+"other", 1))
		must.Eq(t, 6*BlockTokens, second.usage.PromptDetails.CachedTokens)
		must.Eq(t, (106-6*BlockTokens)*prefillTime/2+tokenTime/2, second.took)
	})
}

// Guards against a stop by command that leaves the request running, keeps its slot or is not recorded.
func TestCancel(t *testing.T) {
	change := func(c *Config) { c.Slots = 1 }
	bubble(t, change, func(t *testing.T, e *Engine) {
		running := start(t, e, prompt("a", "x", 100))
		queued := start(t, e, prompt("b", "x", 100))
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
		must.NoError(t, (<-start(t, e, prompt("c", "x", 1))).err)
	})
}

// Guards against a KV import that doesn't save the prefill, or that is used for another prompt or twice.
func TestKVTransfer(t *testing.T) {
	bubble(t, nil, func(t *testing.T, from *Engine) {
		to, err := New(from.config)
		must.NoError(t, err)
		text := strings.Repeat("abcd", 50)
		running := start(t, from, prompt("r", text, 40))
		_, err = from.ExportKV("r")
		must.Error(t, err)
		time.Sleep(54*prefillTime + 10*tokenTime + 1)
		export, err := from.ExportKV("r")
		must.NoError(t, err)
		from.Cancel("r")
		must.Eq(t, 10, (<-running).usage.CompletionTokens)
		must.NoError(t, to.ImportKV(export))
		must.Error(t, to.ImportKV(KVExport{Blob: "e30="}))
		request := prompt("r", text, 40)
		request.ResumeFrom = 10
		resumed := <-start(t, to, request)
		must.Eq(t, AnswerTo(request).Text(10), resumed.text())
		must.Eq(t, time.Duration(AnswerTo(request).Tokens-10)*tokenTime, resumed.took)
		must.NoError(t, to.ImportKV(export))
		other := prompt("r", "y", 2)
		must.Eq(t, 5, int(((<-start(t, to, other)).took-time.Duration(AnswerTo(other).Tokens)*tokenTime)/prefillTime))
	})
}

// Guards against load reports without the lag.
func TestLoadLag(t *testing.T) {
	change := func(c *Config) { c.Slots, c.LoadLag = 1, 500*time.Millisecond }
	bubble(t, change, func(t *testing.T, e *Engine) {
		first := start(t, e, prompt("a", "x", 100))
		second := start(t, e, prompt("b", "x", 1))
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
