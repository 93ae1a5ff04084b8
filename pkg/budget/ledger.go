package budget

import "context"

// Preference selects which error an operator prefers when a budget is nearly used up. It changes the size and the
// lifetime of grants, never the invariant that package ledger enforces.
type Preference string

// Values of Preference.
const (
	AvoidOverspend Preference = "avoid-overspend"
	AvoidRefusal   Preference = "avoid-refusal"
)

// OpKind is the kind of an Op.
type OpKind string

// Values of OpKind. The comments list the fields of Op that each kind uses in addition to ID, Kind and Budget.
const (
	OpCreate       OpKind = "create"        // Preference
	OpTopUp        OpKind = "top_up"        // Tokens; ID is the operator's id of the top-up
	OpPrefer       OpKind = "prefer"        // Preference
	OpGrant        OpKind = "grant"         // Holder, Need, Want
	OpSettle       OpKind = "settle"        // Holder, Bills, FlushedMS
	OpReturn       OpKind = "return"        // Holder, Tokens
	OpTransfer     OpKind = "transfer"      // Holder, To, Tokens; ID identifies the transfer
	OpCloseHolder  OpKind = "close_holder"  // Holder, Bills, Transfers; covers all budgets of the shard
	OpRelease      OpKind = "release"       // Holder; an operator returns the holder's grant to the budget
	OpClaim        OpKind = "claim"         // Claim
	OpClaimResult  OpKind = "claim_result"  // Claim with Result
	OpClaimRelease OpKind = "claim_release" // Claim
)

// Op is one operation on a ledger shard. Applying the same Op again, also after a lost response, has no
// further effect and yields the same Result.
type Op struct {
	// ID is unique across the fleet, "<instance>/<sequence>" for routers, or the operator's id.
	ID         string       `json:"id"`
	Kind       OpKind       `json:"kind"`
	Budget     ID           `json:"budget"`
	Holder     string       `json:"holder,omitempty"`
	Need       Tokens       `json:"need,omitempty"`
	Want       Tokens       `json:"want,omitempty"`
	Tokens     Tokens       `json:"tokens,omitempty"`
	To         string       `json:"to,omitempty"`
	Bills      []Bill       `json:"bills,omitempty"`
	Transfers  []Transfer   `json:"transfers,omitempty"`
	Preference Preference   `json:"preference,omitempty"`
	Claim      *ClaimRecord `json:"claim,omitempty"`
	// FlushedMS, in ms since 1970, is used by OpSettle. Every request of the organisation that Holder reserved
	// before this time is either cancelled or billed in this or an earlier applied operation, and every transfer
	// that Holder made before it has been applied. The ledger keeps bills that a later flush could repeat.
	// 0 means LongestRequest before the time of the operation.
	FlushedMS int64 `json:"flushed_ms,omitempty"`
}

// Bill is the charge of one request. Its identity is (organisation, Key).
type Bill struct {
	Budget ID     `json:"budget"`
	Key    string `json:"key"`
	Tokens Tokens `json:"tokens"`
}

// Transfer moves unspent tokens of a grant from one holder to another.
type Transfer struct {
	ID     string `json:"id"`
	Budget ID     `json:"budget"`
	From   string `json:"from"`
	To     string `json:"to"`
	Tokens Tokens `json:"tokens"`
}

// ClaimRecord is the durable record of a non-idempotent call. Its identity is (Budget.Organisation, Key).
type ClaimRecord struct {
	Key       string        `json:"key"`
	ID        string        `json:"id"`
	Owner     string        `json:"owner"`
	BodyHash  uint64        `json:"body_hash"`
	CreatedMS int64         `json:"created_ms"`
	Result    *StoredResult `json:"result,omitempty"`
}

// Code is the outcome of an Op.
type Code string

// Values of Code.
const (
	CodeOK Code = "ok"
	// CodeBudgetUnknown means that the budget does not exist.
	CodeBudgetUnknown Code = "budget_unknown"
	// CodeExists means that the budget already exists.
	CodeExists Code = "exists"
	// CodeExhausted means that not even the tokens granted to other holders could cover the need.
	CodeExhausted Code = "exhausted"
	// CodeHeldElsewhere means that other holders' grants cover the need; Result.Holders lists them.
	CodeHeldElsewhere Code = "held_elsewhere"
	// CodeHolderClosed means that the holder's instance was closed; nothing was changed.
	CodeHolderClosed Code = "holder_closed"
	// CodeClaimed means that another attempt has claimed the call; Result.Claim is that claim.
	CodeClaimed Code = "claimed"
	// CodeInvalid means that the operation is malformed or exceeds the holder's grant; nothing was changed.
	CodeInvalid Code = "invalid"
	// CodeStale means that the operation's sequence number is older than the history kept for its issuer. Nothing
	// was changed; an earlier delivery of the operation may have taken effect.
	CodeStale Code = "stale"
	// CodeFull means that the shard can't store more records now.
	CodeFull Code = "full"
)

// Result is the outcome of one Op.
type Result struct {
	Code Code `json:"code"`
	// Granted is the number of tokens that OpGrant added to the holder's grant.
	Granted Tokens `json:"granted,omitempty"`
	// Unallocated is the number of the budget's tokens that are neither settled nor granted, after the operation.
	Unallocated Tokens `json:"unallocated,omitempty"`
	// Duplicates lists the keys of bills that the ledger had stored before; they are not charged again.
	Duplicates []string `json:"duplicates,omitempty"`
	// Holders lists the holders of the budget's grants, after the operation.
	Holders    []HolderGrant `json:"holders,omitempty"`
	Preference Preference    `json:"preference,omitempty"`
	Claim      *ClaimRecord  `json:"claim,omitempty"`
	Message    string        `json:"message,omitempty"`
}

// HolderGrant is one holder's grant.
type HolderGrant struct {
	Instance string `json:"instance"`
	Tokens   Tokens `json:"tokens"`
}

// Ledger applies operations to the shard of an organisation.
type Ledger interface {
	// Apply applies the operations in order and returns one Result per operation once all are durable. After an
	// error it is not known whether they took effect; applying the same operations again is safe. The error wraps
	// platform.ErrUnavailable if the platform is not reachable by any path.
	Apply(ctx context.Context, organisation string, ops []Op) ([]Result, error)
	// Read returns the status of all budgets of the organisation.
	Read(ctx context.Context, organisation string) ([]Status, error)
}

// Status is the state of a budget.
type Status struct {
	ID         ID            `json:"id"`
	Preference Preference    `json:"preference"`
	ToppedUp   Tokens        `json:"topped_up"`
	Settled    Tokens        `json:"settled"`
	Grants     []HolderGrant `json:"grants"`
}
