package forward

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/catalog"
	"github.com/lavendershunt/lavendershunt/pkg/retry"
	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// Guards against a counter and log lines that name another reason than the one for which an answer counts as whole or not.
func TestResultOfEndCheck(t *testing.T) {
	t.Parallel()
	for want, test := range map[string]struct {
		basis upstream.EndBasis
		err   error
	}{
		"same_run":                {upstream.EndSameRun, nil},
		"leaving":                 {upstream.EndLeaving, nil},
		"failed_restarted":        {upstream.EndNone, fmt.Errorf("%w at 2, before at 1", errRestarted)},
		"failed_start_not_stated": {upstream.EndNone, fmt.Errorf("%w, before at 1", errStartNotStated)},
		"failed_start_not_known":  {upstream.EndNone, fmt.Errorf("%w, now 2", errStartNotKnown)},
		"failed_refused":          {upstream.EndNone, fmt.Errorf("%w: %w", upstream.ErrUnreached, syscall.ECONNREFUSED)},
		"failed_unreached":        {upstream.EndNone, fmt.Errorf("%w: %w", upstream.ErrUnreached, errors.New("i/o timeout"))},
		"failed_cancelled":        {upstream.EndNone, errors.Join(context.Canceled, upstream.ErrUnreached)},
		"failed_no_report":        {upstream.EndNone, errors.New("unexpected EOF")},
	} {
		must.EqOp(t, want, endResult(test.basis, test.err))
	}
}

// Guards against a run that counts as the one that got the request because nothing is known of one of the two, and against refusing the
// answers of an engine that states its start nowhere.
func TestRunIsTheSameOnlyIfBothSidesSaySo(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		expected, stated int64
		want             upstream.EndBasis
		wantErr          error
	}{
		{0, 0, upstream.EndStartNotStated, nil},
		{1, 1, upstream.EndSameRun, nil},
		{1, 2, upstream.EndNone, errRestarted},
		{2, 1, upstream.EndNone, errRestarted},
		{1, 0, upstream.EndNone, errStartNotStated},
		{0, 1, upstream.EndNone, errStartNotKnown},
	} {
		basis, err := judgeRun(test.expected, test.stated)
		must.EqOp(t, test.want, basis)
		must.EqOp(t, test.wantErr == nil, err == nil)
		must.True(t, errors.Is(err, test.wantErr))
	}
}

// Guards against an end that is judged by another rule on repeats than canRetry has.
func TestRepeatAfterAnEndAgreesWithRetry(t *testing.T) {
	t.Parallel()
	for _, semantics := range []catalog.Semantics{catalog.Idempotent, catalog.AtMostOnce} {
		for _, streaming := range []bool{false, true} {
			for _, resumable := range []bool{false, true} {
				for _, events := range []int{0, 1} {
					r := catalog.Route{Semantics: semantics, Streaming: streaming, Resumable: resumable, MaxAttempts: 2}
					e := &exchange{Server: NewServer(Options{Retries: retry.New(retry.Limits{Ratio: 1, Window: time.Second, Extra: 1000}, time.Now(), true), Routers: func() int { return 1 }})}
					e.route, e.deadline = r, time.Now().Add(time.Minute)
					must.EqOp(t, e.canRetry(attemptFailed, &eventStream{count: events}), mayRepeat(r, events))
				}
			}
		}
	}
}
