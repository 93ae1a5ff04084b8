package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
	"github.com/lavendershunt/lavendershunt/pkg/admin"
)

// budgetState is the state of a budget as printed; amounts are in tokens.
type budgetState struct {
	Budget      string  `json:"budget"`
	Preference  string  `json:"preference"`
	ToppedUp    int64   `json:"topped_up"`
	Settled     int64   `json:"settled"`
	Granted     int64   `json:"granted"`
	Unallocated int64   `json:"unallocated"`
	Grants      []grant `json:"grants"`
}

// grant is a router's grant from a budget as printed.
type grant struct {
	Instance   string `json:"instance"`
	VM         string `json:"vm"`
	Tokens     int64  `json:"tokens"`
	State      string `json:"state"`
	Held       bool   `json:"held"`
	Releasable bool   `json:"releasable"`
	Reason     string `json:"reason,omitempty"`
}

func budgetStateOf(b *adminv1.Budget) budgetState {
	out := budgetState{
		Budget: b.GetOrganisation() + "/" + b.GetBudget(), Preference: b.GetPreference(), ToppedUp: b.GetToppedUp(),
		Settled: b.GetSettled(), Granted: b.GetGranted(), Unallocated: b.GetUnallocated(), Grants: []grant{},
	}
	for _, g := range b.GetGrants() {
		out.Grants = append(out.Grants, grant{
			Instance: g.GetInstance(), VM: g.GetVm(), Tokens: g.GetTokens(), State: g.GetState(),
			Held: g.GetHeld(), Releasable: g.GetReleasable(), Reason: g.GetReason(),
		})
	}
	return out
}

func budgetTable(all []budgetState) string {
	var rows [][]string
	for _, b := range all {
		rows = append(rows, []string{b.Budget, b.Preference, fmt.Sprint(b.ToppedUp), fmt.Sprint(b.Settled), fmt.Sprint(b.Granted), fmt.Sprint(b.Unallocated)})
	}
	return formatTable([]string{"BUDGET", "PREFERENCE", "TOPPED UP", "SETTLED", "GRANTED", "UNALLOCATED"}, rows)
}

// splitBudget splits <organisation>/<budget>; both parts are required.
func splitBudget(text string) (organisation, name string, err error) {
	organisation, name, found := strings.Cut(text, "/")
	if !found || organisation == "" || name == "" {
		return "", "", usagef("%q is not a budget; allowed is <organisation>/<budget>", text)
	}
	return organisation, name, nil
}

func createBudget(flags *flag.FlagSet) runFunc {
	preference := flags.String("preference", "avoid-overspend", "`preference` when the budget is nearly used up: avoid-overspend or avoid-refusal")
	return func(ctx context.Context, c *call) (result, error) {
		organisation, name, err := splitBudget(c.operand)
		if err != nil {
			return result{}, err
		}
		_, err = c.client.CreateBudget(ctx, connect.NewRequest(&adminv1.CreateBudgetRequest{Organisation: organisation, Budget: name, Preference: *preference}))
		created := map[string]string{"budget": c.operand, "preference": *preference}
		return result{created, "budget " + c.operand + " created"}, err
	}
}

func preferBudget(flags *flag.FlagSet) runFunc {
	preference := flags.String("preference", "", "`preference` when the budget is nearly used up: avoid-overspend or avoid-refusal")
	return func(ctx context.Context, c *call) (result, error) {
		organisation, name, err := splitBudget(c.operand)
		if err != nil {
			return result{}, err
		}
		_, err = c.client.PreferBudget(ctx, connect.NewRequest(&adminv1.PreferBudgetRequest{Organisation: organisation, Budget: name, Preference: *preference}))
		changed := map[string]string{"budget": c.operand, "preference": *preference}
		return result{changed, "budget " + c.operand + " now prefers " + *preference}, err
	}
}

func topUpBudget(flags *flag.FlagSet) runFunc {
	tokens := flags.Int64("tokens", 0, "number of `tokens` to add")
	id := flags.String("id", "", "`id` of the top-up, such as an invoice number; repeating the id adds no further tokens")
	return func(ctx context.Context, c *call) (result, error) {
		organisation, name, err := splitBudget(c.operand)
		if err != nil {
			return result{}, err
		}
		if *id == "" {
			return result{}, usagef("budget topup: -id is required, so that the command can be repeated safely")
		}
		request := &adminv1.TopUpBudgetRequest{Organisation: organisation, Budget: name, Tokens: *tokens, Id: *id}
		response, err := c.client.TopUpBudget(ctx, connect.NewRequest(request))
		if err != nil {
			return result{}, err
		}
		b := budgetStateOf(response.Msg.GetBudget())
		return result{b, budgetTable([]budgetState{b})}, nil
	}
}

func readBudgets(ctx context.Context, c *call, operand string) ([]budgetState, error) {
	organisation, name, _ := strings.Cut(operand, "/")
	response, err := c.client.GetBudgets(ctx, connect.NewRequest(&adminv1.GetBudgetsRequest{Organisation: organisation, Budget: name}))
	if err != nil {
		return nil, err
	}
	all := []budgetState{}
	for _, b := range response.Msg.GetBudgets() {
		all = append(all, budgetStateOf(b))
	}
	return all, nil
}

func showBudgets(*flag.FlagSet) runFunc {
	return func(ctx context.Context, c *call) (result, error) {
		all, err := readBudgets(ctx, c, c.operand)
		return result{all, budgetTable(all)}, err
	}
}

// heldGrant is a grant whose holder has failed or is unknown, as printed.
type heldGrant struct {
	Budget string `json:"budget"`
	grant
}

func showHeldTokens(*flag.FlagSet) runFunc {
	return func(ctx context.Context, c *call) (result, error) {
		if c.operand == "" {
			return showHeldInstances(ctx, c)
		}
		all, err := readBudgets(ctx, c, c.operand)
		held := []heldGrant{}
		var rows [][]string
		for _, b := range all {
			for _, g := range b.Grants {
				if g.Held {
					held = append(held, heldGrant{b.Budget, g})
					release := "may be released"
					if !g.Releasable {
						release = "kept: " + g.Reason
					}
					rows = append(rows, []string{b.Budget, g.Instance, fmt.Sprint(g.Tokens), g.State, release})
				}
			}
		}
		return result{held, formatTable([]string{"BUDGET", "HOLDER", "TOKENS", "STATE", "RELEASE"}, rows)}, err
	}
}

func releaseBudget(flags *flag.FlagSet) runFunc {
	holder := flags.String("holder", "", "`instance` that holds the tokens, as shown by budget held")
	id := flags.String("id", "", "`id` of the release (default: a random one)")
	release := releaseInstance(flags)
	return func(ctx context.Context, c *call) (result, error) {
		if c.operand == "" {
			return release(ctx, c)
		}
		organisation, name, err := splitBudget(c.operand)
		if err != nil {
			return result{}, err
		}
		if *holder == "" {
			return result{}, usagef("budget release: -holder is required; 'lsctl budget held' lists the holders")
		}
		if *id == "" {
			_, *id = admin.NewKey()
		}
		request := &adminv1.ReleaseGrantsRequest{Organisation: organisation, Budget: name, Instance: *holder, Id: *id}
		response, err := c.client.ReleaseGrants(ctx, connect.NewRequest(request))
		if err != nil {
			return result{}, err
		}
		b := budgetStateOf(response.Msg.GetBudget())
		return result{b, budgetTable([]budgetState{b})}, nil
	}
}
