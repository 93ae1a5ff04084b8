//go:build !race

package member

// largeFleets lets the loss and healing tests run at 370 routers.
const largeFleets = true
