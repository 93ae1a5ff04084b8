package relay

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/outcome"
)

var tenTokens = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}

// Guards against gaps and repeated tokens when an engine crashes in the middle of an answer.
func TestChatResumesAfterEngineDies(t *testing.T) {
	first, second := startEngine(t, breakAfter(4)), startEngine(t, streamAll(10))
	tokenPool := &fakeTokenPool{}
	r := newRelay(t, Relay{TokenPool: tokenPool, Selector: listSelector{[]string{first.address, second.address}}})
	indexes, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Nil(t, end.Failure)
	must.Eq(t, tenTokens, indexes)
	must.Eq(t, 4, second.requests()[0].ResumeFrom)
	must.Eq(t, []budget.Tokens{13}, tokenPool.settled)
}

// Guards against delivering frames that belong to another request, are repeated or arrive late, and against
// taking another request's end marker for the end of this answer.
func TestChatDropsForeignAndRepeatedFrames(t *testing.T) {
	writeForeignFrames := func(w io.Writer, f engineFields) bool {
		for i := range 10 {
			writeToken(w, "someone-else", i)
			writeToken(w, f.RequestID, i)
			writeToken(w, f.RequestID, i)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		writeEnd(w, "someone-else", 2)
		writeEnd(w, f.RequestID, 10)
		return true
	}
	engine := startEngine(t, writeForeignFrames)
	r := newRelay(t, Relay{TokenPool: &fakeTokenPool{}, Selector: listSelector{[]string{engine.address}}})
	indexes, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Nil(t, end.Failure)
	must.Eq(t, tenTokens, indexes)
	must.Eq(t, 10, end.Usage.CompletionTokens)
}

// Guards against delivering an answer in which a token is missing.
func TestChatRejectsMissingToken(t *testing.T) {
	skipToken := func(w io.Writer, f engineFields) bool {
		writeToken(w, f.RequestID, 0)
		writeToken(w, f.RequestID, 2)
		writeEnd(w, f.RequestID, 3)
		return true
	}
	skipping, good := startEngine(t, skipToken), startEngine(t, streamAll(10))
	r := newRelay(t, Relay{TokenPool: &fakeTokenPool{}, Selector: listSelector{[]string{skipping.address, good.address}}})
	indexes, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Nil(t, end.Failure)
	must.Eq(t, tenTokens, indexes)
}

// Guards against dispatching a request whose tokens could not be reserved.
func TestChatIsNotSentWithoutReservation(t *testing.T) {
	engine := startEngine(t, streamAll(10))
	refusal := outcome.NotRunf(outcome.ReasonBudgetExhausted, 0, "no tokens left")
	r := newRelay(t, Relay{TokenPool: &fakeTokenPool{reserveErr: refusal}, Selector: listSelector{[]string{engine.address}}})
	_, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Eq(t, refusal, end.Failure)
	must.Len(t, 0, engine.requests())
}

// Guards against reporting an answer as done while its bill may be lost.
func TestChatIsNotDoneWithoutBill(t *testing.T) {
	engine := startEngine(t, streamAll(10))
	r := newRelay(t, Relay{TokenPool: &fakeTokenPool{settleErr: errTest}, Selector: listSelector{[]string{engine.address}}})
	_, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Eq(t, outcome.Unknown, end.Failure.Outcome)
	must.Eq(t, outcome.ReasonNotBilled, end.Failure.Reason)
}

// Guards against a false "not run" after the request reached an engine.
func TestChatOutcomeAfterFailure(t *testing.T) {
	dead := closedAddress(t)
	broken := startEngine(t, breakAfter(0))
	for name, tc := range map[string]struct {
		addresses []string
		want      outcome.Outcome
	}{
		"connection refused everywhere":          {[]string{dead}, outcome.NotRun},
		"broken before the first token":          {[]string{broken.address}, outcome.Unknown},
		"refused after an attempt that was sent": {[]string{broken.address, dead}, outcome.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			tokenPool := &fakeTokenPool{}
			r := newRelay(t, Relay{TokenPool: tokenPool, Selector: listSelector{tc.addresses}})
			_, end := collect(r.Chat(t.Context(), testChat("r1")))
			must.Eq(t, tc.want, end.Failure.Outcome)
			must.Eq(t, 1, tokenPool.cancelled)
			must.Len(t, 0, tokenPool.settled)
		})
	}
}

// Guards against an endless request to an engine that has stopped sending.
func TestChatFailsOverFromSilentEngine(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	silent := startEngine(t, func(w io.Writer, f engineFields) bool {
		writeToken(w, f.RequestID, 0)
		<-release
		return false
	})
	good := startEngine(t, streamAll(10))
	r := newRelay(t, Relay{
		TokenPool: &fakeTokenPool{}, Selector: listSelector{[]string{silent.address, good.address}},
		IdleTimeout: 50 * time.Millisecond,
	})
	indexes, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Nil(t, end.Failure)
	must.Eq(t, tenTokens, indexes)
}

// Guards against unbilled tokens: a caller that hangs up pays for what it received.
func TestChatBillsDeliveredTokensAfterHangUp(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	engine := startEngine(t, func(w io.Writer, f engineFields) bool {
		writeToken(w, f.RequestID, 0)
		writeToken(w, f.RequestID, 1)
		<-release
		return false
	})
	tokenPool := &fakeTokenPool{}
	r := newRelay(t, Relay{TokenPool: tokenPool, Selector: listSelector{[]string{engine.address}}, IdleTimeout: 100 * time.Millisecond})
	ctx, hangUp := context.WithCancel(t.Context())
	events := r.Chat(ctx, testChat("r1"))
	<-events
	<-events
	hangUp()
	_, end := collect(events)
	must.NotNil(t, end.Failure)
	prompt := PromptBound(5, 1, 4)
	must.Eq(t, []budget.Tokens{budget.Tokens(prompt + 2)}, tokenPool.settled)
}

// Guards against work after a deadline: the request ends as unknown, because it was sent.
func TestChatEndsAtDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	engine := startEngine(t, func(io.Writer, engineFields) bool { <-release; return false })
	r := newRelay(t, Relay{TokenPool: &fakeTokenPool{}, Selector: listSelector{[]string{engine.address}}, FirstByteTimeout: 200 * time.Millisecond})
	chat := testChat("r1")
	chat.Class = config.Class{Name: "reply", Target: config.TargetDeadline, DeadlineMS: 100}
	_, end := collect(r.Chat(t.Context(), chat))
	must.Eq(t, outcome.Unknown, end.Failure.Outcome)
	must.Eq(t, outcome.ReasonEndpointTimeout, end.Failure.Reason)
}

// Guards against ending a stream when its endpoint is switched off at the deadline of its withdrawal: the rest
// comes from another endpoint.
func TestChatResumesAfterEvacuation(t *testing.T) {
	cancelled := make(chan struct{})
	evacuation, switchOff := context.WithCancel(t.Context())
	defer switchOff()
	leaving := startEngine(t, func(w io.Writer, f engineFields) bool {
		writeToken(w, f.RequestID, 0)
		switchOff()
		<-cancelled
		return false
	})
	leaving.onCancel = func() { close(cancelled) }
	staying := startEngine(t, streamAll(10))
	reports := make(chan Report, 2)
	r := newRelay(t, Relay{
		TokenPool: &fakeTokenPool{}, Selector: evacuatingSelector{listSelector{[]string{leaving.address, staying.address}}, evacuation, reports},
	})
	indexes, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Nil(t, end.Failure)
	must.Eq(t, tenTokens, indexes)
	must.False(t, (<-reports).Failed)
}

// Guards against taking a cancelled answer for a complete one.
func TestChatResumesCancelledAnswer(t *testing.T) {
	cancelling := startEngine(t, func(w io.Writer, f engineFields) bool {
		writeToken(w, f.RequestID, 0)
		writeFinish(w, f.RequestID, finishCancelled, 1)
		return true
	})
	good := startEngine(t, streamAll(10))
	r := newRelay(t, Relay{TokenPool: &fakeTokenPool{}, Selector: listSelector{[]string{cancelling.address, good.address}}})
	indexes, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Nil(t, end.Failure)
	must.Eq(t, tenTokens, indexes)
}

// Guards against a false "not run" when a later engine rejects the rest of a request that an earlier one ran.
func TestChatRejectedAfterFirstAttempt(t *testing.T) {
	broken := startEngine(t, breakAfter(2))
	rejecting := startEngine(t, nil)
	r := newRelay(t, Relay{TokenPool: &fakeTokenPool{}, Selector: listSelector{[]string{broken.address, rejecting.address}}})
	_, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Eq(t, outcome.Unknown, end.Failure.Outcome)
}

// Guards against failing a request, or losing its place in the queue, because engines are full for a moment.
func TestChatWaitsForFullEngine(t *testing.T) {
	engine := startEngine(t, rejectAsFull, rejectAsFull, streamAll(10))
	admitter := &noRetryAdmission{}
	r := newRelay(t, Relay{TokenPool: &fakeTokenPool{}, Selector: listSelector{[]string{engine.address}}, Admitter: admitter})
	indexes, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Nil(t, end.Failure)
	must.Eq(t, tenTokens, indexes)
	must.Eq(t, 2, admitter.requeued)
	must.Eq(t, 1, admitter.ended)
}

// Guards against ending the streams of a crashed engine because the retry budget is used up: all of them fail at once.
func TestChatResumesWithoutRetryBudget(t *testing.T) {
	first, second := startEngine(t, breakAfter(4)), startEngine(t, streamAll(10))
	r := newRelay(t, Relay{
		TokenPool: &fakeTokenPool{}, Selector: listSelector{[]string{first.address, second.address}}, Admitter: &noRetryAdmission{},
	})
	indexes, end := collect(r.Chat(t.Context(), testChat("r1")))
	must.Nil(t, end.Failure)
	must.Eq(t, tenTokens, indexes)
}
