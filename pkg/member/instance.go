package member

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// instanceRandomBytes makes the ids of two starts within the same millisecond different.
const instanceRandomBytes = 4

// NewInstance returns an instance id for a process that starts now on the VM: <vm>@<Unix ms>-<random hex>.
func NewInstance(vm string, now time.Time) string {
	var random [instanceRandomBytes]byte
	_, _ = rand.Read(random[:])
	return fmt.Sprintf("%s@%d-%s", vm, now.UnixMilli(), hex.EncodeToString(random[:]))
}

// NewInstanceAfter returns an instance id that supersedes the previous one, even if the clock was set back.
func NewInstanceAfter(previous, vm string, now time.Time) string {
	if start, ok := startMillis(previous); ok && now.UnixMilli() <= start {
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

// ProcessOf returns the member instance that a ledger or journal id belongs to. A router that was closed in the ledger
// while it was disconnected continues there under the id <instance>.<number>, and stays the same member.
func ProcessOf(id string) string {
	vm, rest, found := strings.Cut(id, "@")
	if !found {
		return id
	}
	process, _, _ := strings.Cut(rest, ".")
	return vm + "@" + process
}

// startMillis returns the start time in an instance id as Unix time in ms, and false if the id has none.
func startMillis(instance string) (int64, bool) {
	_, rest, found := strings.Cut(instance, "@")
	text, _, _ := strings.Cut(rest, "-")
	start, err := strconv.ParseInt(text, 10, 64)
	return start, found && err == nil
}

// startedAfter reports whether instance a was started after instance b, both on the same VM. It is false for ids that
// were not made by NewInstance.
func startedAfter(a, b string) bool {
	startA, okA := startMillis(a)
	startB, okB := startMillis(b)
	if !okA || !okB {
		return false
	}
	return startA > startB || startA == startB && a > b
}

// Supersedes reports whether both instances ran on the same VM and a was started after b, so that b has ended.
func Supersedes(a, b string) bool {
	return VMOf(a) != "" && VMOf(a) == VMOf(b) && startedAfter(a, b)
}
