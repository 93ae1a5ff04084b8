//go:build race

package member

// testLargeFleets is off because the message loss and partition tests with 370 routers take minutes under the race
// detector.
const testLargeFleets = false
