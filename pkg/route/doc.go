// Package route keeps the table of endpoints as this router sees it and chooses an endpoint for each request.
//
// A Table has no clock, no goroutine and no I/O: times and the source of randomness are passed in. It is not
// safe for concurrent use; one task owns it.
package route
