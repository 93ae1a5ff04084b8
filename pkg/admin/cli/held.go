package cli

import (
	"context"
	"flag"
	"fmt"

	"connectrpc.com/connect"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
)

// heldInstance is an instance that can't be closed, as printed.
type heldInstance struct {
	Instance string       `json:"instance"`
	VM       string       `json:"vm"`
	Zone     string       `json:"zone"`
	Reason   string       `json:"reason"`
	MayRun   string       `json:"may_run,omitempty"`
	Tokens   []heldTokens `json:"tokens"`
}

type heldTokens struct {
	Budget string `json:"budget"`
	Tokens int64  `json:"tokens"`
}

func heldInstanceOf(m *adminv1.HeldInstance) heldInstance {
	h := heldInstance{
		Instance: m.GetInstance(), VM: m.GetVm(), Zone: m.GetZone(), Reason: orDefault(m.GetReason(), "the closing is in progress"),
		MayRun: m.GetMayRun(), Tokens: []heldTokens{},
	}
	for _, t := range m.GetTokens() {
		h.Tokens = append(h.Tokens, heldTokens{t.GetOrganisation() + "/" + t.GetBudget(), t.GetTokens()})
	}
	return h
}

// rows returns one table row for each budget, or a single row if the instance has no tokens.
func (h heldInstance) rows() [][]string {
	row := func(budget, tokens string) []string {
		return []string{h.Instance, h.VM, h.Zone, budget, tokens, h.Reason, orDefault(h.MayRun, "no")}
	}
	if len(h.Tokens) == 0 {
		return [][]string{row("-", "0")}
	}
	var rows [][]string
	for _, t := range h.Tokens {
		rows = append(rows, row(t.Budget, fmt.Sprint(t.Tokens)))
	}
	return rows
}

func showHeldInstances(ctx context.Context, c *call) (result, error) {
	response, err := c.client.GetHeldInstances(ctx, connect.NewRequest(&adminv1.GetHeldInstancesRequest{}))
	if err != nil {
		return result{}, err
	}
	held := []heldInstance{}
	var rows [][]string
	for _, m := range response.Msg.GetInstances() {
		h := heldInstanceOf(m)
		held = append(held, h)
		rows = append(rows, h.rows()...)
	}
	text := "no instance is held"
	if len(held) > 0 {
		text = formatTable([]string{"INSTANCE", "VM", "AVAILABILITY ZONE", "BUDGET", "TOKENS", "REASON", "MAY STILL RUN"}, rows)
	}
	return result{held, text}, nil
}

// lostBillsText is printed after an instance was released.
const lostBillsText = "Bills that only an unreachable witness had are lost: their tokens went back to the budgets and can be spent again."

func releaseInstance(flags *flag.FlagSet) runFunc {
	id := flags.String("instance", "", "held `instance` to close, as shown by budget held")
	yes := flags.Bool("yes", false, "accept that bills which only an unreachable witness had are lost")
	stopped := flags.Bool("stopped", false, "declare that you have made sure that the VM no longer runs the instance; needed if the VM list does not show it")
	return func(ctx context.Context, c *call) (result, error) {
		switch {
		case *id == "":
			return result{}, usagef("budget release: -instance is required; 'lsctl budget held' lists the instances")
		case !*yes:
			return result{}, usagef("budget release: -yes is required: the instance is closed without the witnesses that do not answer, and bills that only such a witness had are lost")
		}
		request := &adminv1.ReleaseInstanceRequest{Instance: *id, AcceptLoss: *yes, Stopped: *stopped}
		response, err := c.client.ReleaseInstance(ctx, connect.NewRequest(request))
		if err != nil {
			return result{}, err
		}
		h := heldInstanceOf(response.Msg.GetInstance())
		return result{h, fmt.Sprintf("instance %s is closed by your decision (%s).\n%s\n", h.Instance, h.Reason, lostBillsText)}, nil
	}
}
