// Package memory accounts for what a router holds in memory for its callers: decoded heads, bodies that arrive, answers that wait for a
// slow reader, and connections.
//
// It answers callers that we don't control: many that send bodies and stop before the end, or read nothing, or send requests that take
// many times their size decoded. Without an account their sum takes the memory of the VM, and the process ends for all. What is counted
// is what is held, not what came over the wire, and it is counted before the decoder allocates it.
package memory

import "errors"

var (
	// ErrFull means that the account has no room for the bytes.
	ErrFull = errors.New("memory: the account is full")
	// ErrShare means that the caller's address or organisation holds as much as it may.
	ErrShare = errors.New("memory: the share of the caller is used up")
)

const (
	// SmallBytes is the size up to which a holding is small: larger than a usual request with its answer.
	SmallBytes = 64 << 10
	// accountShare is the part of a process's memory that may be held for callers' requests. The collector needs up to half as much
	// again, and the rest of the process takes some 25 MB.
	accountShare = 0.25
	// overallShare is the part of a process's memory that may be held for requests and connections together. With the live data of the
	// rest of the process it stays below the soft limit of the garbage collector.
	overallShare = 0.45
	// questionShare is the part of a process's memory that may be held for address lookups, and for readiness checks and reads of the
	// metrics.
	questionShare = 0.02
	// leastQuestionTotal holds some forty of them.
	leastQuestionTotal = 1 << 20
	// leastTotal is the total of a process with very little memory: a body of 4 MiB fits twice, as it does while its buffer grows, and
	// so does its answer.
	leastTotal = 16 << 20
	// reserveShare is the part of the total that is kept for small holdings.
	reserveShare = 0.25
	// callerShare is the part of the total that one address, or one organisation, may hold in holdings that aren't small.
	callerShare = 0.6
)

// Limits bound an account. All are in bytes.
type Limits struct {
	// Total bounds the holdings of all requests together; 0 means no limit.
	Total int64
	// Overall bounds them together with the connections; 0 means no limit.
	Overall int64
	// Reserve is the part of Total that only small holdings get.
	Reserve int64
	// Caller bounds the holdings of one address, and of one organisation, that aren't small.
	Caller int64
}

// LimitsFor returns the limits for a process that may use so much memory in bytes, 0 for no limit.
func LimitsFor(processBytes int64) Limits {
	if processBytes <= 0 {
		return Limits{}
	}
	total := max(leastTotal, int64(accountShare*float64(processBytes)))
	overall := max(total+leastTotal/2, int64(overallShare*float64(processBytes)))
	return Limits{Total: total, Overall: overall, Reserve: int64(reserveShare * float64(total)), Caller: int64(callerShare * float64(total))}
}

// QuestionLimits returns the limits of an account for questions that anybody may ask without a key, for a process that may use so much
// memory in bytes, 0 for no limit. They have accounts of their own, so that callers' requests can't keep them out, nor the reverse.
func QuestionLimits(processBytes int64) Limits {
	if processBytes <= 0 {
		return Limits{}
	}
	total := max(leastQuestionTotal, int64(questionShare*float64(processBytes)))
	return Limits{Total: total, Reserve: int64(reserveShare * float64(total)), Caller: total}
}

// usage is what is held before a holding grows.
type usage struct {
	// total is the sum of all requests, connections that of the connections, address and organisation the requests of the caller that
	// aren't small, and holding its own size. If the holding isn't small, it is part of each. address and organisation are noShare if the
	// caller has none.
	total, connections, address, organisation, holding int64
	// isConnection is set if the holding is that of a connection.
	isConnection bool
}

// noShare stands for the sum of an address or organisation that isn't known.
const noShare = -1

// exceeds reports whether a sum that isn't noShare is too large with n bytes more.
func (l Limits) exceeds(sum, n int64) bool { return sum != noShare && sum+n > l.Caller }

// check returns an error if a holding must not grow by n bytes: ErrFull or ErrShare.
func (l Limits) check(u usage, n int64) error {
	if l.Total <= 0 {
		return nil
	}
	if l.Overall > 0 && u.total+u.connections+n > l.Overall {
		return ErrFull
	}
	if u.isConnection {
		return nil
	}
	if u.holding+n <= SmallBytes {
		if u.total+n > l.Total {
			return ErrFull
		}
		return nil
	}
	added := n
	if u.holding <= SmallBytes {
		added += u.holding // It begins to count against the shares.
	}
	switch {
	case u.total+n > l.Total-l.Reserve:
		return ErrFull
	case l.exceeds(u.address, added) || l.exceeds(u.organisation, added):
		return ErrShare
	}
	return nil
}
