package service

import (
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// MaxBodyBytes is the largest size of a request body.
const MaxBodyBytes = 4 << 20

// Refusal is the response body of a call that was refused before it ran; Ran is always false.
type Refusal struct {
	Error string `json:"error"`
	Ran   bool   `json:"ran"`
}

// Handle serves the service's HTTP API: /control/ for tests and the load tool, and every other path as a call to echo.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), "/control/") {
		s.handleControl(ctx)
		return
	}
	record := Record{
		RequestID:      string(ctx.Request.Header.Peek(HeaderRequestID)),
		Organisation:   string(ctx.Request.Header.Peek(HeaderOrganisation)),
		IdempotencyKey: string(ctx.Request.Header.Peek(HeaderIdempotencyKey)),
		Method:         string(ctx.Method()),
		Path:           string(ctx.Path()),
	}
	fault, storedRecord, latency := s.startCall(record)
	if fault.Kind == FaultFailBefore {
		standin.WriteJSON(ctx, http.StatusServiceUnavailable, Refusal{Error: "the call was refused before it ran"})
		return
	}
	s.sleep(latency)
	runCount := s.completeCall(storedRecord)
	switch fault.Kind {
	case FaultFailAfter:
		standin.WriteError(ctx, http.StatusInternalServerError, "the call failed")
	case FaultHang:
		s.sleep(time.Duration(fault.HangMS) * time.Millisecond)
		standin.CloseConnection(ctx)
	default:
		standin.WriteJSON(ctx, http.StatusOK, Echo{
			RequestID: record.RequestID, IdempotencyKey: record.IdempotencyKey, Method: record.Method,
			Path: record.Path, Body: string(ctx.PostBody()), Run: runCount,
		})
	}
}

// LatencyChange is the body of POST /control/latency.
type LatencyChange struct {
	// LatencyMS is the new latency in milliseconds.
	LatencyMS int `json:"latency_ms"`
}

func (s *Service) handleControl(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "POST /control/faults":
		var fault Fault
		err := standin.DecodeJSON(ctx.PostBody(), &fault)
		if err == nil {
			err = s.Inject(fault)
		}
		writeResult(ctx, err)
	case "DELETE /control/faults":
		s.ClearFaults()
		writeResult(ctx, nil)
	case "POST /control/latency":
		var change LatencyChange
		err := standin.DecodeJSON(ctx.PostBody(), &change)
		if err == nil {
			s.SetLatency(time.Duration(change.LatencyMS) * time.Millisecond)
		}
		writeResult(ctx, err)
	case "GET /control/record":
		standin.WriteJSON(ctx, http.StatusOK, s.Records(uint64(ctx.QueryArgs().GetUintOrZero("after"))))
	default:
		standin.WriteError(ctx, http.StatusNotFound, "no handler for this path")
	}
}

func writeResult(ctx *fasthttp.RequestCtx, err error) {
	if err != nil {
		standin.WriteError(ctx, http.StatusBadRequest, err.Error())
		return
	}
	standin.WriteJSON(ctx, http.StatusOK, struct{}{})
}
