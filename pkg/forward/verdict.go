package forward

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

var (
	// ErrNotOwn is wrapped by the errors of Dialect.CheckSuccess.
	ErrNotOwn = errors.New("forward: the success is not the endpoint's own")
	// errFalsePromise means that an endpoint may have run a request and answered with a status by which callers may send it again.
	errFalsePromise = errors.New("forward: the endpoint does not say that the request did not run")
)

// verdict is what the head of an endpoint's answer means for the request.
type verdict int

const (
	// verdictNotRun means that the endpoint has proved that it didn't and won't run the request.
	verdictNotRun verdict = iota
	// verdictWithheld means that the endpoint may have run the request, and that its answer would be a false promise to the caller.
	verdictWithheld
	// verdictInvalid means that the endpoint may have run the request, and that its answer can't be its own.
	verdictInvalid
	// verdictStream means that the body is a stream, which is passed on event by event.
	verdictStream
	// verdictWhole means that the answer is passed on once its body is whole.
	verdictWhole
)

// judge decides what the head of an answer means. The error explains verdictWithheld and verdictInvalid.
//
// It answers endpoints that are faulty: the request's id alone doesn't make an answer the endpoint's own, and a status alone proves
// nothing about the request.
func judge(d Dialect, streaming bool, status int, h http.Header) (verdict, error) {
	isSuccess := status >= 200 && status < 300
	switch {
	case d.NotRun(status, h):
		return verdictNotRun, nil
	case outcome.PromisesNotRun(status):
		return verdictWithheld, fmt.Errorf("%w: status %d", errFalsePromise, status)
	case !isSuccess:
		return verdictWhole, nil
	}
	if err := d.CheckSuccess(h); err != nil {
		return verdictInvalid, err
	}
	if streaming {
		return verdictStream, nil
	}
	return verdictWhole, nil
}
