package forward

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/origin"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// Guards against a router of an earlier build that takes the version of a list entry for that of a stream that it gets through this
// router: it reads the version only, and not that it is unproven.
func TestUnprovenStreamForAnotherRouterNamesNoVersion(t *testing.T) {
	d := &route.Decision{Chosen: "e0", Software: "v1", Started: 1}
	e := testExchange(catalog.Route{Streaming: true})
	e.Origins, e.onBehalf, e.decision = origin.NewRegistry(origin.Options{}), true, d
	e.process = identifyProcess(d, upstream.Run{Known: true, Started: 2}, func(int64) (string, bool) { return "", false })
	e.recordBegin()
	must.Eq(t, RemoteProgress{Attempts: 1, Endpoint: "e0", Unproven: true}, (&RemoteExchange{e}).Progress())
}
