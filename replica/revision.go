package replica

import "strconv"

// A store that loses what it has acknowledged, because it is restored from an older copy, counts its
// revisions again from an earlier one. Each time it begins a new era. A revision therefore combines the era
// with the store's own count, so that of two revisions the later one is always higher.

// numberBits is the number of bits for the store's own count. At 10,000 changes a second they last for 3
// years; the rest counts the eras.
const numberBits = 40

// MaxEra and MaxNumber are the highest era and the highest count that a revision can hold.
const (
	MaxEra    = 1<<(64-numberBits) - 1
	MaxNumber = 1<<numberBits - 1
)

// RevisionOf returns the revision for a store's own count in an era. Both must be within their limits.
func RevisionOf(era, number uint64) uint64 { return era<<numberBits | number }

// Era returns the era of a revision, 0 if the store has none.
func Era(revision uint64) uint64 { return revision >> numberBits }

// Number returns the store's own count of a revision.
func Number(revision uint64) uint64 { return revision & MaxNumber }

// FormatRevision returns a revision for people: the store's own count, after the era and a dot if there is one.
func FormatRevision(revision uint64) string {
	text := strconv.FormatUint(Number(revision), 10)
	if era := Era(revision); era > 0 {
		text = strconv.FormatUint(era, 10) + "." + text
	}
	return text
}
