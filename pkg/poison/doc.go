// Package poison finds requests that crash endpoints and stops them.
//
// A request is identified by its fingerprint: the organisation and a hash of the body. When an endpoint crashes,
// all requests that ran there become suspects, and the record is sent to all routers before any caller is
// answered. A suspect runs at most once at a time in the fleet and only at endpoints that run no other suspect,
// so a second crash identifies the cause; the fingerprint is then stopped. A suspect that completes is cleared.
//
// What is guaranteed: if all routers can reach each other, a fingerprint that is sent again after its failure was
// reported crashes at most two endpoints, through whichever routers it is sent. Clean requests are not
// coordinated: if k copies were dispatched before the first crash was known at their routers, they and one
// isolated run can crash k+1 endpoints.
//
// In a partition each side counts on its own, so the bound is two endpoints per side; a suspect is isolated
// only within its side. Records are merged when the sides meet again. Records are kept for an hour in memory
// only; a router that starts gets them from the others.
//
// An endpoint that fails twice by itself while the same request happens to run there alone among the suspects
// stops that request wrongly until the record expires.
package poison
