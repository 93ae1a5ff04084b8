//go:build race

package member

// largeFleets is off under the race detector, which makes the loss and healing tests at 370 routers take minutes.
const largeFleets = false
