// Package admit decides when a request may be dispatched: limits per organisation and per pool of endpoints,
// bounded queues, fair sharing between organisations, early refusal and the retry budget.
//
// StateMachine is pure: it has no clock, no goroutine and no I/O. Gate is the task that owns a StateMachine.
package admit
