package forward

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
	"github.com/lavendershunt/lavendershunt/pkg/route"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// countingRemote reports that the links are well, and counts the requests that waited to know that.
type countingRemote struct{ waited int }

func (r *countingRemote) IsNeeded() bool { return false }

func (r *countingRemote) AwaitCheck(context.Context) bool {
	r.waited++
	return false
}

func (r *countingRemote) IsRefusing() bool { return false }

func (r *countingRemote) Send(context.Context, RemoteRequest) (*RemoteResponse, error) {
	return nil, upstream.ErrNotSent
}

// Guards against holding a request that no endpoint takes, and for which none was tried, until a check of the links has ended.
func TestRequestWithoutAttemptsIsRejectedAtOnce(t *testing.T) {
	placement := NewPlacement("a", route.Options{})
	go placement.Run(t.Context())
	remote := &countingRemote{}
	e := testExchange(catalog.Route{MaxAttempts: 2})
	e.Placement, e.Remote, e.Log = placement, remote, &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	e.deadline = time.Now().Add(time.Hour)
	e.forward(t.Context())
	must.NotNil(t, e.failure)
	must.EqOp(t, outcome.NotRun, e.failure.Outcome)
	must.EqOp(t, 0, remote.waited)
}
