package engine

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/platform"
)

// slowWeights takes a second for each load and counts the bytes.
func slowWeights(bytes *int) func(context.Context, string, int) error {
	return func(ctx context.Context, _ string, n int) error {
		time.Sleep(time.Second)
		*bytes += n
		return ctx.Err()
	}
}

// Guards against a model that serves before its weights are read, weights that are read twice for one state, and
// more models than fit.
func TestLoadOrders(t *testing.T) {
	bytes := 0
	change := func(c *Config) {
		c.FetchWeights, c.ModelBytes, c.AdapterBytes = slowWeights(&bytes), 1000, 1
		c.MaxModels = 2
	}
	bubble(t, change, func(t *testing.T, e *Engine) {
		order := func(o Order) Status {
			status, err := e.Order(o)
			must.NoError(t, err)
			return status
		}
		wait := func() { time.Sleep(time.Second); synctest.Wait() }
		for range 3 {
			status := order(Order{Kind: OrderLoad, Model: "n"})
			must.Eq(t, ModelStatus{Model: "n", Loading: "1"}, status.Models[1])
		}
		request := prompt("r", "x", 1)
		request.Model = "n"
		_, err := e.Admit(context.Background(), Origin{}, request)
		must.ErrorContains(t, err, "not loaded")
		wait()
		must.NoError(t, (<-start(t, e, request)).err)
		order(Order{Kind: OrderLoad, Model: "n"})
		order(Order{Kind: OrderLoad, Model: "n", Adapter: "x"})
		wait()
		request.Model = "n:x"
		must.NoError(t, (<-start(t, e, request)).err)
		order(Order{Kind: OrderLoad, Model: "n", Version: "2"})
		must.Eq(t, "1", e.Status().Models[1].Version)
		wait()
		must.Eq(t, ModelStatus{Model: "n", Version: "2"}, e.Status().Models[1])
		must.Eq(t, 2001, bytes)
		order(Order{Kind: OrderLoad, Model: "o"})
		must.Eq(t, []ModelStatus{{Model: "n", Version: "2"}, {Model: "o", Loading: "1"}}, e.Status().Models)
	})
}

// Guards against a failed load that looks like a finished one.
func TestFailedLoad(t *testing.T) {
	change := func(c *Config) {
		c.FetchWeights = func(context.Context, string, int) error { return errors.New("weight store is down") }
	}
	bubble(t, change, func(t *testing.T, e *Engine) {
		_, err := e.Order(Order{Kind: OrderLoad, Model: "m", Version: "2"})
		must.NoError(t, err)
		synctest.Wait()
		must.Eq(t, ModelStatus{Model: "m", Version: "1", Error: "weight store is down"}, e.Status().Models[0])
	})
}

// Guards against an old fencing number that is accepted by an engine that enforces fencing, or refused by one that
// ignores it.
func TestFencing(t *testing.T) {
	for _, fencing := range []platform.Fencing{platform.FencingEnforced, platform.FencingIgnored} {
		bubble(t, func(c *Config) { c.Fencing = fencing }, func(t *testing.T, e *Engine) {
			_, err := e.Order(Order{Kind: OrderRole, Role: "decode", Fencing: 5})
			must.NoError(t, err)
			_, orderErr := e.Order(Order{Kind: OrderRole, Role: "prefill", Fencing: 4})
			request := prompt("r", "x", 1)
			request.Fencing = 4
			admitted, chatErr := e.Admit(context.Background(), Origin{}, request)
			if fencing == platform.FencingEnforced {
				var refused *RefusedError
				must.True(t, asRefused(orderErr, &refused))
				must.Eq(t, 409, refused.Status)
				must.Eq(t, 5, refused.Fencing)
				must.Error(t, chatErr)
				must.Eq(t, Status{Models: []ModelStatus{{Model: "m", Version: "1"}}, Role: "decode", Fencing: 5, MaxModels: 1}, e.Status())
				return
			}
			must.NoError(t, orderErr)
			must.NoError(t, chatErr)
			must.Eq(t, "prefill", e.Status().Role)
			_, _, err = e.Run(admitted, func(Chunk) error { return nil })
			must.NoError(t, err)
		})
	}
}
