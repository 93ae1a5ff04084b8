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
	// retryAfter is the Retry-After time of answers that refuse a request because the router is not configured yet or is
	// stopping.
	retryAfter = time.Second
	// firstEventTimeout bounds the wait for the first event before a streamed response starts. Without an event the
	// response starts with keep-alive comments. A failure within this time is sent with its own HTTP status, a later one
	// as an event of the stream.
	firstEventTimeout = time.Second
	// keepAliveInterval bounds the time until a disconnect is detected: the HTTP library reports it only when a write
	// fails.
	keepAliveInterval = time.Second
)

// chatBody holds the fields of a chat completion request that the gateway reads. The whole body is passed on to the
// endpoint.
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

// messageText is the text of a message. Content given as a list of parts is kept as its JSON text, whose length bounds
// the number of prompt tokens.
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

func (g *Gateway) handleChat(c fiber.Ctx) error {
	id := g.NewID()
	chat, stream, failure := g.parseChat(c, id)
	if failure != nil {
		return writeFailure(c, id, failure)
	}
	done, failure := g.beginRequest()
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
	return writeCompletion(c, chat, events)
}

func (g *Gateway) parseChat(c fiber.Ctx, id string) (relay.Chat, bool, *outcome.Failure) {
	caller, failure := g.authenticate(c)
	if failure != nil {
		return relay.Chat{}, false, failure
	}
	request, failure := g.newRequest(c, id, caller)
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
	prompt, contentBytes := buildPrompt(body.Messages)
	return relay.Chat{
		Request: request, Budget: payingBudget(c, caller), Model: body.Model, Prompt: prompt, ContentBytes: contentBytes,
		Messages: len(body.Messages), MaxTokens: limit, Body: append([]byte(nil), c.Body()...),
	}, body.Stream, nil
}

// outputLimit validates the fields of the body and returns the output limit in tokens.
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
	requested := body.MaxTokens
	if body.MaxCompletionTokens != nil {
		requested = body.MaxCompletionTokens
	}
	if requested == nil {
		return classLimit, nil
	}
	if *requested < 1 || *requested > classLimit {
		return 0, outcome.NotRunf(outcome.ReasonBadRequest, 0, "field max_tokens is %d; the class allows 1 to %d", *requested, classLimit)
	}
	return *requested, nil
}

// buildPrompt returns the prompt text and the total size of the message contents in bytes.
func buildPrompt(messages []chatMessage) (prompt []byte, contentBytes int) {
	parts := make([]route.Message, len(messages))
	for i, m := range messages {
		parts[i] = route.Message{Role: m.Role, Content: string(m.Content)}
		contentBytes += len(m.Content)
	}
	return route.PromptText(parts), contentBytes
}

// chatCompletion is the answer to a chat completion request that is not streamed.
type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   relay.Usage        `json:"usage"`
}

type completionChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// writeCompletion collects the tokens of all events and writes them as one answer.
func writeCompletion(c fiber.Ctx, chat relay.Chat, events <-chan relay.Event) error {
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
		return c.JSON(chatCompletion{
			ID: chat.ID, Object: "chat.completion", Created: chat.Arrived.Unix(), Model: chat.Model,
			Choices: []completionChoice{{
				Message:      chatMessage{Role: "assistant", Content: messageText(text.String())},
				FinishReason: event.End.FinishReason,
			}},
			Usage: event.End.Usage,
		})
	}
	panic("gateway: relay closed the event channel without an end event")
}

// streamChat waits up to firstEventTimeout for the first event, so that an early failure is sent with its own HTTP
// status, and then streams the events.
func (g *Gateway) streamChat(c fiber.Ctx, chat relay.Chat, events <-chan relay.Event, cancel context.CancelFunc, done func()) error {
	var first *relay.Event
	select {
	case event := <-events:
		first = &event
	case <-time.After(firstEventTimeout):
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
		if !writer.writeEvents(first, events) {
			cancel()
			discardEvents(events)
		}
		cancel()
	})
}

// discardEvents reads events until the relay closes the channel, which it does after it has billed the delivered
// tokens.
func discardEvents(events <-chan relay.Event) {
	for range events {
	}
}

// sseWriter writes one answer as server-sent events.
type sseWriter struct {
	w    *bufio.Writer
	chat relay.Chat
}

// writeEvents writes all events and reports whether all writes succeeded; false means that the caller has disconnected.
func (s *sseWriter) writeEvents(first *relay.Event, events <-chan relay.Event) bool {
	if first != nil && !s.writeEvent(*first) {
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
			if !s.writeEvent(event) {
				return false
			}
		case <-keepAlive.C:
			if !s.writef(": keep-alive\n\n") {
				return false
			}
		}
	}
}

func (s *sseWriter) writeEvent(event relay.Event) bool {
	if event.End == nil {
		return s.writeChunk(streamChunk{Index: &event.Token.Index, Choices: []streamChoice{{Delta: streamDelta{Content: event.Token.Text}}}})
	}
	if event.End.Failure != nil {
		return s.writef("event: error\ndata: %s\n\n", event.End.Failure.Encode(s.chat.ID))
	}
	finish := event.End.FinishReason
	ok := s.writeChunk(streamChunk{Choices: []streamChoice{{FinishReason: &finish}}, Usage: &event.End.Usage})
	return ok && s.writef("data: [DONE]\n\n")
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

func (s *sseWriter) writeChunk(chunk streamChunk) bool {
	chunk.ID, chunk.Object, chunk.Created, chunk.Model = s.chat.ID, "chat.completion.chunk", s.chat.Arrived.Unix(), s.chat.Model
	data, err := json.Marshal(chunk)
	if err != nil {
		panic("gateway: encode chunk: " + err.Error())
	}
	return s.writef("data: %s\n\n", data)
}

func (s *sseWriter) writef(format string, args ...any) bool {
	if _, err := fmt.Fprintf(s.w, format, args...); err != nil {
		return false
	}
	return s.w.Flush() == nil
}
