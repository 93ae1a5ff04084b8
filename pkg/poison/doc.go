// Package poison finds requests that crash endpoints and stops them.
//
// A request is identified by its fingerprint: the organisation and a hash of the body. When an endpoint crashes,
// all requests that ran there become suspects, and the record is sent to all routers before any caller is
// answered. A suspect runs at most once at a time in the fleet and only at endpoints that run no other suspect,
// so a second crash identifies the cause; the fingerprint is then stopped. A suspect that completes is cleared.
//
// Guarantee: if all routers can reach each other, a fingerprint that is sent again after its failure was
// reported crashes at most two endpoints, through whichever routers it is sent. Requests that are not suspects
// are not coordinated: if k copies were dispatched before their routers had the record of the first crash, they
// and one isolated run can crash k+1 endpoints.
//
// During a network partition each side counts crashes separately, so the bound is two endpoints per side; a
// suspect is isolated only within its side. Records are merged when the partition ends. Records are kept for an
// hour, in memory only; a router that starts gets them from the others.
//
// If an endpoint fails twice for another reason while the same request happens to run there as the only suspect,
// that request is stopped wrongly until its record expires.
//
// A Registry does the same for routers that share records through the platform's store instead of connections to all others,
// and for parts that requests have in common. It doesn't isolate suspects: it finds the fewest fingerprints that explain
// the crashes.
package poison
