package member

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
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

// NewInstanceAfter returns an instance id that supersedes the given one, even if the clock went back.
func NewInstanceAfter(previous, vm string, now time.Time) string {
	if start, ok := startOf(previous); ok && now.UnixMilli() <= start {
		now = time.UnixMilli(start + 1)
	}
	return NewInstance(vm, now)
}

// VMOf returns the VM of an instance id, or "" if the id was not made by NewInstance.
func VMOf(instance string) string {
	vm, _, found := strings.Cut(instance, "@")
	if !found {
		return ""
	}
	return vm
}

// ProcessOf returns the instance that an id belongs to. A router that was closed while it was cut off goes on under a
// further id <instance>.<number> in the ledger and the journal, and stays the same member.
func ProcessOf(id string) string {
	vm, rest, found := strings.Cut(id, "@")
	if !found {
		return id
	}
	process, _, _ := strings.Cut(rest, ".")
	return vm + "@" + process
}

// startOf returns the start time in an instance id in Unix ms.
func startOf(instance string) (int64, bool) {
	_, rest, found := strings.Cut(instance, "@")
	text, _, _ := strings.Cut(rest, "-")
	start, err := strconv.ParseInt(text, 10, 64)
	return start, found && err == nil
}

// supersedes reports whether instance a of a VM was started after instance b of the same VM. Ids that were not made
// by NewInstance do not supersede each other.
func supersedes(a, b string) bool {
	startA, okA := startOf(a)
	startB, okB := startOf(b)
	if !okA || !okB {
		return false
	}
	return startA > startB || startA == startB && a > b
}

// Supersedes reports whether both instances are of the same VM and a was started after b, so that b has ended.
func Supersedes(a, b string) bool {
	return VMOf(a) != "" && VMOf(a) == VMOf(b) && supersedes(a, b)
}
