package member

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// instanceRandomBytes keeps two starts within one millisecond apart.
const instanceRandomBytes = 4

// NewInstance returns an instance id for a process that starts now on the VM: <vm>@<Unix ms>-<random hex>.
func NewInstance(vm string, now time.Time) string {
	var random [instanceRandomBytes]byte
	_, _ = rand.Read(random[:])
	return fmt.Sprintf("%s@%d-%s", vm, now.UnixMilli(), hex.EncodeToString(random[:]))
}

// VMOf returns the VM of an instance id, or "" if the id was not made by NewInstance.
func VMOf(instance string) string {
	vm, _, found := strings.Cut(instance, "@")
	if !found {
		return ""
	}
	return vm
}
