package upstream

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a HEAD answer without a length that counts as one that ends with its connection: it has no body, and its connection
// stays open, so that nothing has to be confirmed.
func TestHeadAnswerNeedsNoConfirmation(t *testing.T) {
	address, _ := startServer(t, func(conn net.Conn, r *http.Request, _ int) bool {
		readBody(r)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n", idHeader, r.Header.Get(idHeader))
		return true
	})
	c := NewClient()
	for i := range 3 {
		call := newTestCall(address, fmt.Sprint(i))
		call.Method, call.Body = http.MethodHead, nil
		_, err := fetch(c, call)
		must.NoError(t, err)
	}
	must.EqOp(t, 0, c.Stats.ConfirmedEnds.Load())
	must.EqOp(t, 1, c.Stats.Dials.Load())
}
