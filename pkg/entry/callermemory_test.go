package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/memory"
)

// Guards against a connection that is held for ever for a caller that doesn't read its answer, and against ending one that reads slowly.
func TestCallersThatDontReadAreEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCallersOf(t, 0, catalog.Limits{})
		slow, unread := c.dial(t), c.dial(t)
		for _, conn := range []net.Conn{slow, unread} {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			must.NoError(t, err)
		}
		synctest.Wait()
		time.Sleep(writeStall - time.Second)
		response, err := http.ReadResponse(bufio.NewReader(slow), nil)
		must.NoError(t, err)
		must.EqOp(t, http.StatusOK, response.StatusCode)
		must.EqOp(t, 2, c.countOpen())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		must.EqOp(t, 1, c.countOpen())
		must.Eq(t, map[string]int64{"answer_not_read": 1}, c.conns.refusals.ByReason())
	})
}

// countOpen returns the number of open connections.
func (c *callersOf) countOpen() int {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.open()
}

// Guards against heads that are held without a bound on their sum, against memory that isn't given back after a request, and against
// counting the usual heads.
func TestHeadsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCallersOf(t, 0, catalog.Limits{})
		c.conns.account = memory.NewAccount(memory.Limits{Total: 40 << 10})
		long := fmt.Sprintf("GET / HTTP/1.1\r\nHost: a\r\nX: %s\r\n", strings.Repeat("x", 30<<10))
		first, second := c.dial(t), c.dial(t)
		must.True(t, send(first))
		must.EqOp(t, 0, c.conns.account.Stats().Peak)
		for range 2 {
			_, err := io.WriteString(first, long)
			must.NoError(t, err)
			must.Positive(t, c.conns.account.Stats().Used)
			_, err = io.WriteString(second, long)
			must.Error(t, err)
			_, err = io.WriteString(first, "\r\n")
			must.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(first), nil)
			must.NoError(t, err)
			must.EqOp(t, http.StatusOK, response.StatusCode)
			synctest.Wait()
			must.EqOp(t, 0, c.conns.account.Stats().Used)
			second = c.dial(t)
		}
		must.Eq(t, map[string]int64{"head_memory_full": 2}, c.conns.refusals.ByReason())
	})
}

// Guards against more connections than the memory of a small VM holds, and against fewer than callers of the platform open there.
func TestConnectionsFitIntoMemory(t *testing.T) {
	must.EqOp(t, 0, maxCallerConns(0, 0))
	must.EqOp(t, 2925, maxCallerConns(4100, 536<<20))
	for _, mb := range []int64{64, 88, 112} {
		most := maxCallerConns(4100, mb<<20)
		must.LessEq(t, connMemoryShare*float64(mb<<20), float64(most*connBytes))
		must.GreaterEq(t, 1000, most)
	}
	must.EqOp(t, 1146, maxCallerConns(0, 64<<20))
}
