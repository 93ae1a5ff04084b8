package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/contact"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// Guards against calls of all parts of a router to a store that rejects them, and against calls that aren't made although a silent
// store has answered again.
func TestBreakerOpensUntilTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		monitor := contact.NewMonitor(contact.Options{Log: discardLog()})
		b := &circuitBreaker{contact: monitor}
		record := func(err error) {
			time.Sleep(time.Millisecond)
			callStore(t, monitor, 0, err)
		}
		record(nil)
		must.False(t, b.isOpen())

		record(platform.ErrThrottled)
		b.setLost(true)
		for range 5 {
			record(platform.ErrThrottled)
			must.True(t, b.isOpen(), must.Sprint("the store rejects all calls"))
		}
		b.setLost(false)
		must.False(t, b.isOpen())

		record(platform.ErrUnavailable)
		must.False(t, b.isOpen(), must.Sprint("the configuration's feed has not lost the store"))
		b.setLost(true)
		must.True(t, b.isOpen())
		record(nil)
		must.False(t, b.isOpen(), must.Sprint("another call was answered"))
		record(platform.ErrUnavailable)
		must.True(t, b.isOpen(), must.Sprint("the store is silent again"))
	})
}
