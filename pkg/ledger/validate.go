package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/lavendershunt/lavendershunt/pkg/budget"
)

// invalid returns a CodeInvalid result with a formatted message.
func invalid(format string, args ...any) budget.Result {
	return budget.Result{Code: budget.CodeInvalid, Message: fmt.Sprintf(format, args...)}
}

// validate checks everything that does not depend on the shard's state. If the operation is invalid, it returns the
// result to refuse it with, and true.
func validate(op budget.Op) (budget.Result, bool) {
	if op.ID == "" || len(op.ID) > maxNameBytes || len(op.Holder) > maxNameBytes || len(op.To) > maxNameBytes {
		return invalid("operation id %q, holder or receiver is empty or longer than %d bytes", op.ID, maxNameBytes), true
	}
	if !validAmount(op.Tokens) || !validAmount(op.Need) || !validAmount(op.Want) {
		return invalid("amount is negative or above %d tokens", maxTokens), true
	}
	if op.Kind != budget.OpCloseHolder && !validName(op.Budget.Organisation) {
		return invalid("organisation %q is empty, too long or contains a slash", op.Budget.Organisation), true
	}
	for _, b := range op.Bills {
		if !validAmount(b.Tokens) || b.Key == "" || len(b.Key) > maxNameBytes {
			return invalid("bill with key %q and %d tokens is malformed", b.Key, b.Tokens), true
		}
	}
	for _, t := range op.Transfers {
		if !validAmount(t.Tokens) || t.From == t.To || t.From == "" || t.To == "" || len(t.To) > maxNameBytes {
			return invalid("transfer %q is malformed", t.ID), true
		}
		if r, bad := validateIssuer(budget.Op{ID: t.ID}, t.From); bad {
			return r, true
		}
	}
	return validateKind(op)
}

func validateKind(op budget.Op) (budget.Result, bool) {
	switch op.Kind {
	case budget.OpCreate, budget.OpPrefer:
		if !validPreference(op.Preference) {
			return invalid("preference %q is unknown", op.Preference), true
		}
		if !validName(op.Budget.Budget) {
			return invalid("budget %q is empty, too long or contains a slash", op.Budget.Budget), true
		}
	case budget.OpTopUp:
	case budget.OpRelease, budget.OpCloseHolder:
		if op.Holder == "" {
			return invalid("holder is empty"), true
		}
	case budget.OpClaim, budget.OpClaimResult, budget.OpClaimRelease:
		return validateClaim(op)
	case budget.OpTransfer:
		if op.To == "" || op.To == op.Holder {
			return invalid("receiver %q of the transfer is empty or the holder itself", op.To), true
		}
		return validateIssuer(op, op.Holder)
	case budget.OpGrant, budget.OpSettle, budget.OpReturn:
		return validateIssuer(op, op.Holder)
	default:
		return invalid("kind %q is unknown", op.Kind), true
	}
	return budget.Result{}, false
}

func validateClaim(op budget.Op) (budget.Result, bool) {
	c := op.Claim
	if c == nil || c.Key == "" || c.ID == "" || c.Owner == "" || max(len(c.Key), len(c.ID), len(c.Owner)) > maxNameBytes {
		return invalid("claim lacks its key, id or owner, or they are too long"), true
	}
	if op.Kind == budget.OpClaimResult && c.Result == nil {
		return invalid("claim result is missing"), true
	}
	if c.Result != nil && (len(c.Result.Body) > MaxResultBody || len(c.Result.ContentType) > maxNameBytes) {
		return invalid("claim result is larger than %d bytes", MaxResultBody), true
	}
	return validateIssuer(op, c.Owner)
}

// validateIssuer checks that the id is "<issuer>/<sequence>" and that the issuer is "<instance>" or a part of it,
// "<instance>/<part>".
func validateIssuer(op budget.Op, instance string) (budget.Result, bool) {
	issuer, _, ok := splitID(op.ID)
	if !validName(instance) || !ok || !issuerBelongsTo(issuer, instance) {
		return invalid("operation id %q is not a sequence of instance %q", op.ID, instance), true
	}
	return budget.Result{}, false
}

// splitID splits "<issuer>/<sequence>". Sequences start at 1.
func splitID(id string) (issuer string, sequence uint64, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i <= 0 {
		return "", 0, false
	}
	n, err := strconv.ParseUint(id[i+1:], 10, 64)
	return id[:i], n, err == nil && n > 0
}

func issuerBelongsTo(issuer, instance string) bool {
	return issuer == instance || strings.HasPrefix(issuer, instance+"/")
}

func validAmount(n int64) bool { return n >= 0 && n <= maxTokens }

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes && !strings.Contains(s, "/") }

func validPreference(p budget.Preference) bool {
	return p == "" || p == budget.AvoidOverspend || p == budget.AvoidRefusal
}
