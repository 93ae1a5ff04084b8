package forward

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/upstream"
)

// Guards against a counter and log lines that name another reason than the one for which an answer counts as whole or not.
func TestResultOfEndCheck(t *testing.T) {
	t.Parallel()
	for want, test := range map[string]struct {
		basis upstream.EndBasis
		err   error
	}{
		"same_run":         {upstream.EndSameRun, nil},
		"leaving":          {upstream.EndLeaving, nil},
		"failed_restarted": {upstream.EndNone, fmt.Errorf("%w at 2, before at 1", errRestarted)},
		"failed_refused":   {upstream.EndNone, fmt.Errorf("%w: %w", upstream.ErrUnreached, syscall.ECONNREFUSED)},
		"failed_unreached": {upstream.EndNone, fmt.Errorf("%w: %w", upstream.ErrUnreached, errors.New("i/o timeout"))},
		"failed_cancelled": {upstream.EndNone, errors.Join(context.Canceled, upstream.ErrUnreached)},
		"failed_no_report": {upstream.EndNone, errors.New("unexpected EOF")},
	} {
		must.EqOp(t, want, endResult(test.basis, test.err))
	}
}
