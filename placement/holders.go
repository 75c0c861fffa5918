package placement

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// holderLife is how long an entry is kept at least. A prompt that is read again counts as a
	// miss for about 10 s after its last use.
	holderLife = 10 * time.Second
	// maxHolders bounds the entries of one generation: 30 requests a second over the life, with room
	// for a surge. An entry has about 40 bytes.
	maxHolders = 2000
)

// holders remembers which engine read the prompt of a key last. Entries live in two generations, so
// that old ones go without a search.
type holders struct {
	young, old map[uint64]fleet.EngineID
	turned     time.Duration
}

func (h *holders) note(now time.Duration, key uint64, id fleet.EngineID) {
	if h.young == nil || now-h.turned >= holderLife || len(h.young) >= maxHolders {
		h.old, h.young, h.turned = h.young, make(map[uint64]fleet.EngineID), now
	}
	h.young[key] = id
}

func (h *holders) of(key uint64) (fleet.EngineID, bool) {
	if id, ok := h.young[key]; ok {
		return id, true
	}
	id, ok := h.old[key]
	return id, ok
}
