package selector

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/relay"
	"github.com/lavendershunt/lavendershunt/pkg/route"
)

// operator sets marks in a configuration store.
type operator struct {
	*config.Store
	revision uint64
}

func newOperator() *operator { return &operator{Store: config.NewStore()} }

func (o *operator) set(t *testing.T, m config.VMMark) {
	value, err := json.Marshal(m)
	must.NoError(t, err)
	o.revision++
	o.Merge([]config.Entry{{Key: config.VMPrefix + m.VM, Revision: o.revision, Value: value}})
}

func startSelector(ctx context.Context, o *operator) (*Selector, *memory.Handler) {
	logged := memory.New()
	s := New(Options{
		Location: route.Location{Region: "r", Zone: "a"}, Log: &log.Logger{Handler: logged, Level: log.InfoLevel},
		IsLeaving: o.Leaving, Mark: o.Mark, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	go s.Run(ctx)
	return s, logged
}

func engineVM(name string) platform.VM {
	return platform.VM{Name: name, Region: "r", Zone: "a", Role: platform.RoleEngine, State: platform.VMLive, Address: name, Models: []string{"m"}}
}

func isCancelled(c context.Context) bool { return c.Err() != nil }

// Guards against choosing an endpoint on a VM that an operator has marked as leaving, and against decisions that are not
// logged.
func TestMarkedEndpointIsNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator()
		s, logged := startSelector(t.Context(), o)
		s.UpdateVMs([]platform.VM{engineVM("e1"), engineVM("e2")})
		o.set(t, config.VMMark{VM: "e1", Leaving: true})
		s.ReapplyMarks()
		for range 20 {
			target, failure := s.Choose(relay.ChooseRequest{RequestID: "q", Model: "m"})
			must.Nil(t, failure)
			must.Eq(t, "e2", target.VM)
		}
		must.Len(t, 20, logged.Entries)
		must.Eq(t, "e2", logged.Entries[0].Fields["endpoint"])
		o.set(t, config.VMMark{VM: "e2", Leaving: true})
		s.ReapplyMarks()
		_, failure := s.Choose(relay.ChooseRequest{RequestID: "q", Model: "m"})
		must.Eq(t, outcome.ReasonNoEndpoint, failure.Reason)
	})
}

// Guards against streams that are interrupted at the deadline of their VM, and against moving them after the operator has
// withdrawn the mark.
func TestStreamsMoveBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOperator()
		s, _ := startSelector(t.Context(), o)
		s.UpdateVMs([]platform.VM{engineVM("e1")})
		target, failure := s.Choose(relay.ChooseRequest{RequestID: "q", Model: "m"})
		must.Nil(t, failure)
		deadline := time.Now().Add(time.Minute)
		o.set(t, config.VMMark{VM: "e1", Leaving: true, Deadline: &deadline})
		s.ReapplyMarks()
		time.Sleep(time.Minute - evacuationMargin - 2*evacuationCheckInterval)
		must.False(t, isCancelled(target.Evacuation))
		time.Sleep(3 * evacuationCheckInterval)
		must.True(t, isCancelled(target.Evacuation))

		o.set(t, config.VMMark{VM: "e1"})
		s.ReapplyMarks()
		target, failure = s.Choose(relay.ChooseRequest{RequestID: "q", Model: "m"})
		must.Nil(t, failure)
		must.False(t, isCancelled(target.Evacuation))
		s.UpdateVMs(nil)
		synctest.Wait()
		must.True(t, isCancelled(target.Evacuation))
	})
}
