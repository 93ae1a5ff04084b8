// Package admit decides when a request may be dispatched: limits per organisation and per pool of endpoints,
// bounded queues, fair sharing between organisations, early refusal and the retry budget.
//
// StateMachine is deterministic: it has no clock, no goroutine and no I/O. Gate runs a StateMachine in one goroutine.
package admit
