//go:build !race

package member

// testLargeFleets enables the message loss and partition tests with 370 routers.
const testLargeFleets = true
