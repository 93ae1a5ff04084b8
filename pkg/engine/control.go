package engine

import (
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/lavendershunt/lavendershunt/internal/standin"
)

// handleControl handles the requests under /control/, with which tests and the load tool control the stand-in. It
// reports whether the path is one of them.
func (e *Engine) handleControl(ctx *fasthttp.RequestCtx) bool {
	if !strings.HasPrefix(string(ctx.Path()), "/control/") {
		return false
	}
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "POST /control/faults":
		handleJSON(ctx, func(fault Fault) (any, error) {
			if err := e.Inject(fault); err != nil {
				return nil, refuse(http.StatusBadRequest, "%v", err)
			}
			return struct{}{}, nil
		})
	case "DELETE /control/faults":
		e.ClearFaults()
		standin.WriteJSON(ctx, http.StatusOK, struct{}{})
	case "POST /control/restart":
		e.Restart()
		standin.WriteJSON(ctx, http.StatusOK, struct{}{})
	case "GET /control/record":
		standin.WriteJSON(ctx, http.StatusOK, e.Records(uint64(ctx.QueryArgs().GetUintOrZero("after"))))
	default:
		writeRefusal(ctx, refuse(http.StatusNotFound, "no handler for %s %s", ctx.Method(), ctx.Path()))
	}
	return true
}
