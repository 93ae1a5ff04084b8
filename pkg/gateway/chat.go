package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

const (
	retryAdvice = time.Second
	// firstEventWait is how long a streamed request may wait for its first token before the stream is begun
	// with a keep-alive comment. Until then a failure gets an HTTP status of its own.
	firstEventWait = time.Second
	// keepAliveInterval bounds how long a disconnect goes unnoticed: the HTTP library reports it only when a
	// write fails.
	keepAliveInterval = time.Second
)

// chatBody holds the fields of a chat completion that the system reads; others are passed on.
type chatBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content messageText `json:"content"`
}

// messageText is the text of a message. Content given as a list of parts is kept as its JSON text, which
// bounds its prompt tokens.
type messageText string

// UnmarshalJSON accepts a string, null or any other JSON value.
func (t *messageText) UnmarshalJSON(data []byte) error {
	var text *string
	if err := json.Unmarshal(data, &text); err != nil {
		*t = messageText(data)
		return nil
	}
	if text != nil {
		*t = messageText(*text)
	}
	return nil
}

func (g *Gateway) chat(c fiber.Ctx) error {
	id := g.NewID()
	chat, stream, failure := g.parseChat(c, id)
	if failure != nil {
		return writeFailure(c, id, failure)
	}
	done, failure := g.enter()
	if failure != nil {
		return writeFailure(c, id, failure)
	}
	ctx, cancel := context.WithCancel(context.Background())
	events := g.Relay.Chat(ctx, chat)
	if stream {
		return g.streamChat(c, chat, events, cancel, done)
	}
	defer done()
	defer cancel()
	return writeWhole(c, chat, events)
}

func (g *Gateway) parseChat(c fiber.Ctx, id string) (relay.Chat, bool, *outcome.Failure) {
	from, failure := g.authenticate(c)
	if failure != nil {
		return relay.Chat{}, false, failure
	}
	request, failure := g.request(c, id, from)
	if failure != nil {
		return relay.Chat{}, false, failure
	}
	var body chatBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return relay.Chat{}, false, outcome.NotRunf(outcome.ReasonBadRequest, 0, "body: %v", err)
	}
	limit, failure := outputLimit(body, request.Class.MaxOutputTokens)
	if failure != nil {
		return relay.Chat{}, false, failure
	}
	prompt, contentBytes := promptOf(body.Messages)
	return relay.Chat{
		Request: request, Budget: budgetOf(c, from), Model: body.Model, Prompt: prompt, ContentBytes: contentBytes,
		Messages: len(body.Messages), MaxTokens: limit, Body: append([]byte(nil), c.Body()...),
	}, body.Stream, nil
}

// outputLimit checks the body's fields and returns the output limit in tokens.
func outputLimit(body chatBody, classLimit int) (int, *outcome.Failure) {
	if body.Model == "" {
		return 0, outcome.NotRunf(outcome.ReasonBadRequest, 0, "field model is missing")
	}
	if len(body.Messages) == 0 {
		return 0, outcome.NotRunf(outcome.ReasonBadRequest, 0, "field messages is empty")
	}
	if body.N != nil && *body.N != 1 {
		return 0, outcome.NotRunf(outcome.ReasonBadRequest, 0, "field n must be 1")
	}
	asked := body.MaxTokens
	if body.MaxCompletionTokens != nil {
		asked = body.MaxCompletionTokens
	}
	if asked == nil {
		return classLimit, nil
	}
	if *asked < 1 || *asked > classLimit {
		return 0, outcome.NotRunf(outcome.ReasonBadRequest, 0, "field max_tokens is %d; the class allows 1 to %d", *asked, classLimit)
	}
	return *asked, nil
}

// promptOf returns the prompt text and the size of the contents in bytes.
func promptOf(messages []chatMessage) (prompt []byte, contentBytes int) {
	parts := make([]route.Message, len(messages))
	for i, m := range messages {
		parts[i] = route.Message{Role: m.Role, Content: string(m.Content)}
		contentBytes += len(m.Content)
	}
	return route.PromptText(parts), contentBytes
}

// wholeAnswer is a chat completion that is not streamed.
type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   relay.Usage   `json:"usage"`
}

type wholeChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

func writeWhole(c fiber.Ctx, chat relay.Chat, events <-chan relay.Event) error {
	var text strings.Builder
	for event := range events {
		if event.End == nil {
			text.WriteString(event.Token.Text)
			continue
		}
		if event.End.Failure != nil {
			return writeFailure(c, chat.ID, event.End.Failure)
		}
		c.Set(relay.HeaderRequestID, chat.ID)
		return c.JSON(wholeAnswer{
			ID: chat.ID, Object: "chat.completion", Created: chat.Arrived.Unix(), Model: chat.Model,
			Choices: []wholeChoice{{
				Message:      chatMessage{Role: "assistant", Content: messageText(text.String())},
				FinishReason: event.End.FinishReason,
			}},
			Usage: event.End.Usage,
		})
	}
	panic("gateway: relay closed its events without an end")
}

// streamChat waits a moment for the first event, so that a failure has an HTTP status, and then streams.
func (g *Gateway) streamChat(c fiber.Ctx, chat relay.Chat, events <-chan relay.Event, cancel context.CancelFunc, done func()) error {
	var first *relay.Event
	select {
	case event := <-events:
		first = &event
	case <-time.After(firstEventWait):
	}
	if first != nil && first.End != nil && first.End.Failure != nil {
		defer done()
		defer cancel()
		return writeFailure(c, chat.ID, first.End.Failure)
	}
	c.Set(relay.HeaderRequestID, chat.ID)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer done()
		writer := &sseWriter{w: w, chat: chat}
		if !writer.run(first, events) {
			cancel()
			drain(events)
		}
		cancel()
	})
}

// drain waits for the relay to bill what was delivered.
func drain(events <-chan relay.Event) {
	for range events {
	}
}

// sseWriter writes one streamed answer.
type sseWriter struct {
	w    *bufio.Writer
	chat relay.Chat
}

// run writes all events and reports whether the caller stayed connected to the end.
func (s *sseWriter) run(first *relay.Event, events <-chan relay.Event) bool {
	if first != nil && !s.write(*first) {
		return false
	}
	if first != nil && first.End != nil {
		return true
	}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case event, ok := <-events:
			if !ok {
				return true
			}
			if !s.write(event) {
				return false
			}
		case <-keepAlive.C:
			if !s.flushf(": keep-alive\n\n") {
				return false
			}
		}
	}
}

func (s *sseWriter) write(event relay.Event) bool {
	if event.End == nil {
		return s.flushChunk(streamChunk{Index: &event.Token.Index, Choices: []streamChoice{{Delta: streamDelta{Content: event.Token.Text}}}})
	}
	if event.End.Failure != nil {
		return s.flushf("event: error\ndata: %s\n\n", event.End.Failure.Encode(s.chat.ID))
	}
	finish := event.End.FinishReason
	ok := s.flushChunk(streamChunk{Choices: []streamChoice{{FinishReason: &finish}}, Usage: &event.End.Usage})
	return ok && s.flushf("data: [DONE]\n\n")
}

type streamChunk struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Index   *int           `json:"index,omitempty"`
	Choices []streamChoice `json:"choices"`
	Usage   *relay.Usage   `json:"usage,omitempty"`
}

type streamChoice struct {
	Index        int         `json:"index"`
	Delta        streamDelta `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type streamDelta struct {
	Content string `json:"content,omitempty"`
}

func (s *sseWriter) flushChunk(chunk streamChunk) bool {
	chunk.ID, chunk.Object, chunk.Created, chunk.Model = s.chat.ID, "chat.completion.chunk", s.chat.Arrived.Unix(), s.chat.Model
	data, err := json.Marshal(chunk)
	if err != nil {
		panic("gateway: encode chunk: " + err.Error())
	}
	return s.flushf("data: %s\n\n", data)
}

func (s *sseWriter) flushf(format string, args ...any) bool {
	if _, err := fmt.Fprintf(s.w, format, args...); err != nil {
		return false
	}
	return s.w.Flush() == nil
}
