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

// slowFetchWeights returns a FetchWeights function that takes a second per load and adds up the bytes.
func slowFetchWeights(bytes *int) func(context.Context, string, int) error {
	return func(ctx context.Context, _ string, n int) error {
		time.Sleep(time.Second)
		*bytes += n
		return ctx.Err()
	}
}

// Guards against a model that is served before its weights are read, weights that are read again for a repeated order,
// and more loaded models than MaxModels.
func TestLoadOrders(t *testing.T) {
	bytes := 0
	configure := func(c *Config) {
		c.FetchWeights, c.ModelBytes, c.AdapterBytes = slowFetchWeights(&bytes), 1000, 1
		c.MaxModels = 2
	}
	withEngine(t, configure, func(t *testing.T, e *Engine) {
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
		request := newRequest("r", "x", 1)
		request.Model = "n"
		_, err := e.Admit(context.Background(), Origin{}, request)
		must.ErrorContains(t, err, "not loaded")
		wait()
		must.NoError(t, (<-startRequest(t, e, request)).err)
		order(Order{Kind: OrderLoad, Model: "n"})
		order(Order{Kind: OrderLoad, Model: "n", Adapter: "x"})
		wait()
		request.Model = "n:x"
		must.NoError(t, (<-startRequest(t, e, request)).err)
		order(Order{Kind: OrderLoad, Model: "n", Version: "2"})
		must.Eq(t, "1", e.Status().Models[1].Version)
		wait()
		must.Eq(t, ModelStatus{Model: "n", Version: "2"}, e.Status().Models[1])
		must.Eq(t, 2001, bytes)
		order(Order{Kind: OrderLoad, Model: "o"})
		must.Eq(t, []ModelStatus{{Model: "n", Version: "2"}, {Model: "o", Loading: "1"}}, e.Status().Models)
	})
}

// Guards against a failed load that is reported as successful.
func TestFailedLoad(t *testing.T) {
	configure := func(c *Config) {
		c.FetchWeights = func(context.Context, string, int) error { return errors.New("weight store is down") }
	}
	withEngine(t, configure, func(t *testing.T, e *Engine) {
		_, err := e.Order(Order{Kind: OrderLoad, Model: "m", Version: "2"})
		must.NoError(t, err)
		synctest.Wait()
		must.Eq(t, ModelStatus{Model: "m", Version: "1", Error: "weight store is down"}, e.Status().Models[0])
	})
}

// Guards against an old fencing number that is accepted with FencingEnforced or refused with FencingIgnored.
func TestFencing(t *testing.T) {
	for _, fencing := range []platform.Fencing{platform.FencingEnforced, platform.FencingIgnored} {
		withEngine(t, func(c *Config) { c.Fencing = fencing }, func(t *testing.T, e *Engine) {
			_, err := e.Order(Order{Kind: OrderRole, Role: "decode", Fencing: 5})
			must.NoError(t, err)
			_, orderErr := e.Order(Order{Kind: OrderRole, Role: "prefill", Fencing: 4})
			request := newRequest("r", "x", 1)
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
