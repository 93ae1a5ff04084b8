package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// MaxBodyBytes bounds a request body.
const MaxBodyBytes = 16 << 20

// Handle is the engine's request handler. A frozen engine answers late, a crashed one closes each connection.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	if e.control(ctx) {
		return
	}
	e.mu.Lock()
	life := e.life
	e.mu.Unlock()
	if err := e.thaw(life); err != nil {
		standin.CloseConnection(ctx)
		return
	}
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "POST " + PathChat:
		e.chat(ctx)
	case "POST " + PathCancel:
		answer(ctx, func(body RequestRef) (any, error) {
			return map[string]int{"cancelled": e.Cancel(body.RequestID)}, nil
		})
	case "GET " + PathLoad:
		standin.WriteJSON(ctx, http.StatusOK, e.Load())
	case "GET " + PathStatus:
		standin.WriteJSON(ctx, http.StatusOK, e.Status())
	case "GET " + PathCacheEvents:
		after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
		if err != nil {
			writeRefusal(ctx, refuse(http.StatusBadRequest, "after: %v", err))
			return
		}
		standin.WriteJSON(ctx, http.StatusOK, e.CacheEvents(after))
	case "POST " + PathKVExport:
		answer(ctx, func(body RequestRef) (any, error) { return e.ExportKV(body.RequestID) })
	case "POST " + PathKVImport:
		answer(ctx, func(body KVExport) (any, error) { return struct{}{}, e.ImportKV(body) })
	case "POST " + PathOrders:
		answer(ctx, func(body Order) (any, error) { return e.Order(body) })
	default:
		writeRefusal(ctx, refuse(http.StatusNotFound, "no handler for %s %s", ctx.Method(), ctx.Path()))
	}
}

// answer decodes the body, calls the function and writes its result.
func answer[T any](ctx *fasthttp.RequestCtx, call func(T) (any, error)) {
	var body T
	if err := standin.DecodeJSON(ctx.PostBody(), &body); err != nil {
		writeRefusal(ctx, refuse(http.StatusBadRequest, "%v", err))
		return
	}
	result, err := call(body)
	if err != nil {
		writeRefusal(ctx, err)
		return
	}
	standin.WriteJSON(ctx, http.StatusOK, result)
}

func writeRefusal(ctx *fasthttp.RequestCtx, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		standin.CloseConnection(ctx)
		return
	}
	standin.WriteJSON(ctx, refused.Status, Refusal{Error: refused.Message, Fencing: refused.Fencing})
}

func (e *Engine) chat(ctx *fasthttp.RequestCtx) {
	var request ChatRequest
	// Unknown fields of the published protocol are allowed here.
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeRefusal(ctx, refuse(http.StatusBadRequest, "%v", err))
		return
	}
	if request.RequestID == "" {
		request.RequestID = string(ctx.Request.Header.Peek(HeaderRequestID))
	}
	origin := Origin{
		Organisation:   string(ctx.Request.Header.Peek(HeaderOrganisation)),
		IdempotencyKey: string(ctx.Request.Header.Peek(HeaderIdempotencyKey)),
	}
	r, err := e.Admit(context.Background(), origin, request)
	if err != nil {
		writeRefusal(ctx, err)
		return
	}
	if request.Stream {
		e.stream(ctx, r)
		return
	}
	e.whole(ctx, r)
}

func (e *Engine) whole(ctx *fasthttp.RequestCtx, r *Run) {
	text := ""
	usage, finish, err := e.Run(r, func(chunk Chunk) error {
		text += chunk.Choices[0].Delta.Content
		return nil
	})
	if err != nil {
		standin.CloseConnection(ctx)
		return
	}
	standin.WriteJSON(ctx, http.StatusOK, Completion{
		ID: r.request.RequestID, Object: "chat.completion", Created: e.clock.Now().Unix(), Model: r.request.Model,
		Choices: []CompletionChoice{{Message: Message{Role: "assistant", Content: text}, FinishReason: finish}},
		Usage:   usage,
	})
}

// stream answers with server-sent events. A run that is cut off closes the connection without an end of the body.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, r *Run) {
	conn := ctx.Conn()
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		_, _, err := e.Run(r, func(chunk Chunk) error { return writeEvent(w, marshal(chunk)) })
		if err == nil {
			err = writeEvent(w, []byte("[DONE]"))
		}
		if err != nil {
			_ = conn.Close()
		}
	})
}

func writeEvent(w *bufio.Writer, data []byte) error {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}
