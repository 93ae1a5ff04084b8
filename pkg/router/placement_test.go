package router

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/engine"
	"github.com/lavendershunt/lavendershunt/pkg/withdraw"
)

// Guards against a model without an endpoint after its last endpoint is marked as leaving, and against a withdrawal
// that stays blocked although the model has been loaded elsewhere.
func TestModelMovesFromLeavingEngine(t *testing.T) {
	f := newFleet(t)
	f.startEngine(nil)
	f.startEngine(func(c *engine.Config) { c.Models, c.MaxModels = []string{"other"}, 2 })
	f.vms[1].Models = []string{"other"}
	f.store.SetVMs(f.vms)
	f.startRouters(3)
	f.topUp(1_000_000)
	body := chatBody("handover", false)
	want := f.post(0, "/v1/chat/completions", "", "", body).completionText(t)

	deadline := time.Now().Add(time.Minute)
	f.put(config.VMPrefix+"engine1", config.VMMark{VM: "engine1", Leaving: true, Deadline: &deadline})
	for i, r := range f.routers {
		f.eventually("model is served again", func() bool {
			return r.Router.config.Leaving("engine1") && f.post(i, "/v1/chat/completions", "", "", body).status == 200
		})
		blocked := withdraw.LastEndpointOf("engine1", r.adminVMList().VMs, r.Router.config.Leaving)
		must.Len(t, 0, blocked)
	}
	before := len(f.engines[1].Records(0).Records)
	must.Eq(t, want, f.post(1, "/v1/chat/completions", "", "", body).completionText(t))
	must.Len(t, before+1, f.engines[1].Records(0).Records)
	must.Eq(t, []engine.ModelStatus{{Model: "other", Version: "1"}, {Model: testModel, Version: "1"}}, f.engines[1].Status().Models)
}
