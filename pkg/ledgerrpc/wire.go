// Package ledgerrpc sends ledger operations and claim queries between routers over Connect.
package ledgerrpc

import (
	ledgerv1 "github.com/lavendershunt/lavendershunt/api/ls/ledger/v1"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

func mapAll[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}

func idToWire(id budget.ID) *ledgerv1.BudgetID {
	return &ledgerv1.BudgetID{Organisation: id.Organisation, Budget: id.Budget}
}

func idFromWire(id *ledgerv1.BudgetID) budget.ID {
	return budget.ID{Organisation: id.GetOrganisation(), Budget: id.GetBudget()}
}

func opToWire(op budget.Op) *ledgerv1.Op {
	return &ledgerv1.Op{
		Id: op.ID, Kind: string(op.Kind), Budget: idToWire(op.Budget), Holder: op.Holder, Need: op.Need, Want: op.Want,
		Tokens: op.Tokens, To: op.To, Preference: string(op.Preference), Claim: claimToWire(op.Claim),
		FlushedMs: op.FlushedMS,
		Bills: mapAll(op.Bills, func(b budget.Bill) *ledgerv1.Bill {
			return &ledgerv1.Bill{Budget: idToWire(b.Budget), Key: b.Key, Tokens: b.Tokens}
		}),
		Transfers: mapAll(op.Transfers, func(t budget.Transfer) *ledgerv1.Transfer {
			return &ledgerv1.Transfer{Id: t.ID, Budget: idToWire(t.Budget), From: t.From, To: t.To, Tokens: t.Tokens}
		}),
	}
}

func opFromWire(op *ledgerv1.Op) budget.Op {
	return budget.Op{
		ID: op.GetId(), Kind: budget.OpKind(op.GetKind()), Budget: idFromWire(op.GetBudget()), Holder: op.GetHolder(),
		Need: op.GetNeed(), Want: op.GetWant(), Tokens: op.GetTokens(), To: op.GetTo(),
		Preference: budget.Preference(op.GetPreference()), Claim: claimFromWire(op.GetClaim()),
		FlushedMS: op.GetFlushedMs(),
		Bills: mapAll(op.GetBills(), func(b *ledgerv1.Bill) budget.Bill {
			return budget.Bill{Budget: idFromWire(b.GetBudget()), Key: b.GetKey(), Tokens: b.GetTokens()}
		}),
		Transfers: mapAll(op.GetTransfers(), func(t *ledgerv1.Transfer) budget.Transfer {
			return budget.Transfer{
				ID: t.GetId(), Budget: idFromWire(t.GetBudget()), From: t.GetFrom(), To: t.GetTo(), Tokens: t.GetTokens(),
			}
		}),
	}
}

func claimToWire(c *budget.ClaimRecord) *ledgerv1.ClaimRecord {
	if c == nil {
		return nil
	}
	return &ledgerv1.ClaimRecord{
		Key: c.Key, Id: c.ID, Owner: c.Owner, BodyHash: c.BodyHash, CreatedMs: c.CreatedMS,
		Result: storedResultToWire(c.Result),
	}
}

func claimFromWire(c *ledgerv1.ClaimRecord) *budget.ClaimRecord {
	if c == nil {
		return nil
	}
	return &budget.ClaimRecord{
		Key: c.GetKey(), ID: c.GetId(), Owner: c.GetOwner(), BodyHash: c.GetBodyHash(), CreatedMS: c.GetCreatedMs(),
		Result: storedResultFromWire(c.GetResult()),
	}
}

func storedResultToWire(r *budget.StoredResult) *ledgerv1.StoredResult {
	if r == nil {
		return nil
	}
	return &ledgerv1.StoredResult{
		Status: int32(r.Status), ContentType: r.ContentType, Body: r.Body, Truncated: r.Truncated,
	}
}

func storedResultFromWire(r *ledgerv1.StoredResult) *budget.StoredResult {
	if r == nil {
		return nil
	}
	return &budget.StoredResult{
		Status: int(r.GetStatus()), ContentType: r.GetContentType(), Body: r.GetBody(), Truncated: r.GetTruncated(),
	}
}

func holderGrantToWire(h budget.HolderGrant) *ledgerv1.HolderGrant {
	return &ledgerv1.HolderGrant{Instance: h.Instance, Tokens: h.Tokens}
}

func holderGrantFromWire(h *ledgerv1.HolderGrant) budget.HolderGrant {
	return budget.HolderGrant{Instance: h.GetInstance(), Tokens: h.GetTokens()}
}

func resultToWire(r budget.Result) *ledgerv1.Result {
	return &ledgerv1.Result{
		Code: string(r.Code), Granted: r.Granted, Unallocated: r.Unallocated, Duplicates: r.Duplicates,
		Holders: mapAll(r.Holders, holderGrantToWire), Preference: string(r.Preference), Claim: claimToWire(r.Claim),
		Message: r.Message,
	}
}

func resultFromWire(r *ledgerv1.Result) budget.Result {
	return budget.Result{
		Code: budget.Code(r.GetCode()), Granted: r.GetGranted(), Unallocated: r.GetUnallocated(),
		Duplicates: r.GetDuplicates(), Holders: mapAll(r.GetHolders(), holderGrantFromWire),
		Preference: budget.Preference(r.GetPreference()), Claim: claimFromWire(r.GetClaim()), Message: r.GetMessage(),
	}
}

func statusToWire(s budget.Status) *ledgerv1.Status {
	return &ledgerv1.Status{
		Id: idToWire(s.ID), Preference: string(s.Preference), ToppedUp: s.ToppedUp, Settled: s.Settled,
		Grants: mapAll(s.Grants, holderGrantToWire),
	}
}

func statusFromWire(s *ledgerv1.Status) budget.Status {
	return budget.Status{
		ID: idFromWire(s.GetId()), Preference: budget.Preference(s.GetPreference()), ToppedUp: s.GetToppedUp(),
		Settled: s.GetSettled(), Grants: mapAll(s.GetGrants(), holderGrantFromWire),
	}
}
