package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"
)

// Guards against calls that are missing from the log, or counted twice in it: the counts of a router that is killed are in its lines
// only.
func TestStoreCallsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := memory.New()
		ctx, cancel := context.WithCancel(t.Context())
		calls := newStoreCalls()
		calls.count("put", "allowances/velocar")
		calls.count("put", "allowances/decu472")
		calls.count("watch", "servers/")
		go calls.run(ctx, &log.Logger{Handler: handler, Level: log.InfoLevel})
		time.Sleep(storeCallsInterval * 5 / 2)
		calls.count("put", "allowances/velocar")
		cancel()
		synctest.Wait()
		must.SliceLen(t, 2, handler.Entries)
		must.Eq(t, map[string]int64{"put allowances": 2, "watch servers": 1}, handler.Entries[0].Fields["calls"].(map[string]int64))
		must.Eq(t, map[string]int64{"put allowances": 1}, handler.Entries[1].Fields["calls"].(map[string]int64))
	})
}
