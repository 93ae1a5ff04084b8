package platform

import "strconv"

const (
	// eraShift is the number of bits of a revision that hold the number of the change. The era takes the other 16.
	eraShift = 48
	// MaxRevisionNumber is the largest number of a change that fits into a revision.
	MaxRevisionNumber = 1<<eraShift - 1
	// MaxEra is the largest era that fits into a revision.
	MaxEra = 1<<(64-eraShift) - 1
)

// NewRevision returns the revision of the change with the given number in an era of the store. The era increases each time
// that the store comes back from an older copy and gives out numbers again, so revisions still are unique and increase.
// era must not exceed MaxEra, number not MaxRevisionNumber.
func NewRevision(era, number uint64) uint64 { return era<<eraShift | number }

// Era returns the era of a revision.
func Era(revision uint64) uint64 { return revision >> eraShift }

// RevisionNumber returns the number of the change within its era.
func RevisionNumber(revision uint64) uint64 { return revision & MaxRevisionNumber }

// FormatRevision returns the revision as era/number for log lines.
func FormatRevision(revision uint64) string {
	return strconv.FormatUint(Era(revision), 10) + "/" + strconv.FormatUint(RevisionNumber(revision), 10)
}
