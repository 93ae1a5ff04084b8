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

// MaxBodyBytes is the largest size of a request body.
const MaxBodyBytes = 16 << 20

// Handle serves the engine's HTTP API. During a freeze, requests wait for its end; after a crash, connections are
// closed without a response. Paths under /control/ are always served.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	if e.handleControl(ctx) {
		return
	}
	e.mu.Lock()
	processCtx := e.processCtx
	e.mu.Unlock()
	if err := e.waitForThaw(processCtx); err != nil {
		standin.CloseConnection(ctx)
		return
	}
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "POST " + PathChat:
		e.handleChat(ctx)
	case "POST " + PathCancel:
		handleJSON(ctx, func(body RequestRef) (any, error) {
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
		handleJSON(ctx, func(body RequestRef) (any, error) { return e.ExportKV(body.RequestID) })
	case "POST " + PathKVImport:
		handleJSON(ctx, func(body KVExport) (any, error) { return struct{}{}, e.ImportKV(body) })
	case "POST " + PathOrders:
		handleJSON(ctx, func(body Order) (any, error) { return e.Order(body) })
	default:
		writeRefusal(ctx, refuse(http.StatusNotFound, "no handler for %s %s", ctx.Method(), ctx.Path()))
	}
}

// handleJSON decodes the body, calls the function and writes its result or error.
func handleJSON[T any](ctx *fasthttp.RequestCtx, call func(T) (any, error)) {
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

// writeRefusal writes a *RefusedError. For any other error it closes the connection without a response, as a crashed
// engine would.
func writeRefusal(ctx *fasthttp.RequestCtx, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		standin.CloseConnection(ctx)
		return
	}
	standin.WriteJSON(ctx, refused.Status, Refusal{Error: refused.Message, Fencing: refused.Fencing})
}

func (e *Engine) handleChat(ctx *fasthttp.RequestCtx) {
	var request ChatRequest
	// The published protocol has more fields than ChatRequest, so unknown ones are allowed here.
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
		e.writeStream(ctx, r)
		return
	}
	e.writeCompletion(ctx, r)
}

func (e *Engine) writeCompletion(ctx *fasthttp.RequestCtx, r *Run) {
	text := ""
	usage, finishReason, err := e.Run(r, func(chunk Chunk) error {
		text += chunk.Choices[0].Delta.Content
		return nil
	})
	if err != nil {
		standin.CloseConnection(ctx)
		return
	}
	standin.WriteJSON(ctx, http.StatusOK, Completion{
		ID: r.request.RequestID, Object: "chat.completion", Created: e.clock.Now().Unix(), Model: r.request.Model,
		Choices: []CompletionChoice{{Message: Message{Role: "assistant", Content: text}, FinishReason: finishReason}},
		Usage:   usage,
	})
}

// writeStream answers with server-sent events. If the run fails, it closes the connection without ending the body.
func (e *Engine) writeStream(ctx *fasthttp.RequestCtx, r *Run) {
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
