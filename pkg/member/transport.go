package member

import (
	"context"
	"time"

	"connectrpc.com/connect"

	memberv1 "github.com/lavendershunt/lavendershunt/api/ls/member/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/member/v1/memberv1connect"
)

// syncTimeout is the timeout of one request of a full exchange.
const syncTimeout = 5 * time.Second

func (t *Task) peerClient(address string) memberv1connect.MemberServiceClient {
	return memberv1connect.NewMemberServiceClient(t.options.Client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// send sends one message and passes its result to the state machine.
func (t *Task) send(ctx context.Context, a Action) {
	switch a.Kind {
	case ActionProbe:
		answered, updates := t.probe(ctx, a.Address, a.Target, a.Updates)
		if answered != a.Target {
			t.failedProbes.Add(1)
		}
		_ = t.do(ctx, func(now time.Time) { t.startActions(ctx, t.machine.HandleProbeResult(now, a, answered, updates)) })
	case ActionProbeFor:
		t.sendProbeFor(ctx, a)
	case ActionSync:
		t.sendSync(ctx, a)
	}
}

// probe sends a direct probe and returns the instance that answered, or "" if there was no answer.
func (t *Task) probe(ctx context.Context, address, target string, updates []Update) (string, []Update) {
	ctx, cancel := context.WithTimeout(ctx, t.options.ProbeTimeout)
	defer cancel()
	request := &memberv1.ProbeRequest{From: t.Self().Instance, Target: target, Updates: toWire(updates)}
	response, err := t.peerClient(address).Probe(ctx, connect.NewRequest(request))
	if err != nil {
		return "", nil
	}
	return response.Msg.GetInstance(), fromWire(response.Msg.GetUpdates())
}

func (t *Task) sendProbeFor(ctx context.Context, a Action) {
	bounded, cancel := context.WithTimeout(ctx, 2*t.options.ProbeTimeout)
	defer cancel()
	request := &memberv1.ProbeForRequest{From: t.Self().Instance, Target: a.Target, TargetAddress: a.TargetAddress}
	response, err := t.peerClient(a.Address).ProbeFor(bounded, connect.NewRequest(request))
	var reached bool
	var updates []Update
	if err == nil {
		reached, updates = response.Msg.GetReached(), fromWire(response.Msg.GetUpdates())
	}
	_ = t.do(ctx, func(now time.Time) { t.machine.HandleProbeForResult(now, a, reached, updates) })
}

func (t *Task) sendSync(ctx context.Context, a Action) {
	bounded, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	request := &memberv1.SyncRequest{From: t.Self().Instance, Hash: a.Hash, Updates: toWire(a.Updates), Wanted: a.Wanted}
	response, err := t.peerClient(a.Address).Sync(bounded, connect.NewRequest(request))
	if err != nil {
		return
	}
	answer := SyncAnswer{Hash: response.Msg.GetHash(), Updates: fromWire(response.Msg.GetUpdates()), Digests: digestsFromWire(response.Msg.GetDigests())}
	_ = t.do(ctx, func(now time.Time) { t.startActions(ctx, t.machine.HandleSyncAnswer(now, a, answer)) })
}

// Probe implements the MemberService.
func (t *Task) Probe(ctx context.Context, req *connect.Request[memberv1.ProbeRequest]) (*connect.Response[memberv1.ProbeResponse], error) {
	response := &memberv1.ProbeResponse{}
	err := t.do(ctx, func(now time.Time) {
		response.Updates = toWire(t.machine.HandleProbe(now, req.Msg.GetFrom(), fromWire(req.Msg.GetUpdates())))
		response.Instance = t.machine.Self().Instance
	})
	return connect.NewResponse(response), unavailableError(err)
}

// ProbeFor implements the MemberService.
func (t *Task) ProbeFor(ctx context.Context, req *connect.Request[memberv1.ProbeForRequest]) (*connect.Response[memberv1.ProbeForResponse], error) {
	answered, updates := t.probe(ctx, req.Msg.GetTargetAddress(), req.Msg.GetTarget(), nil)
	response := &memberv1.ProbeForResponse{Reached: answered == req.Msg.GetTarget(), Updates: toWire(updates)}
	return connect.NewResponse(response), nil
}

// Sync implements the MemberService.
func (t *Task) Sync(ctx context.Context, req *connect.Request[memberv1.SyncRequest]) (*connect.Response[memberv1.SyncResponse], error) {
	response := &memberv1.SyncResponse{}
	err := t.do(ctx, func(now time.Time) {
		answer := t.machine.HandleSync(now, req.Msg.GetHash(), fromWire(req.Msg.GetUpdates()), req.Msg.GetWanted())
		response.Hash, response.Updates, response.Digests = answer.Hash, toWire(answer.Updates), digestsToWire(answer.Digests)
		response.Instance = t.machine.Self().Instance
	})
	return connect.NewResponse(response), unavailableError(err)
}

func unavailableError(err error) error {
	if err == nil {
		return nil
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
