package placement

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// holderLifetime is the minimum time for which an entry is kept, unless maxHolders is reached sooner. A
	// prompt that is read again within about 10 s after its last use counts as a cache miss.
	holderLifetime = 10 * time.Second
	// maxHolders bounds the entries of one generation: 30 requests per second over holderLifetime,
	// with room for a surge. An entry takes about 40 bytes.
	maxHolders = 2000
)

// cacheHolders maps a prompt's key to the engine that last read the prompt and so holds it in its
// cache. Entries are kept in two generations, so that expired ones are dropped without a scan.
type cacheHolders struct {
	current, previous map[uint64]cacheHolder
	rotatedAt         time.Duration
}

// cacheHolder is an engine's process, which began when the engine joined or, if it started cold, was started again.
type cacheHolder struct {
	engine   fleet.EngineID
	joinedAt time.Duration
}

// record sets the engine that read a prompt, and starts a new generation when the current one is
// holderLifetime old or full.
func (h *cacheHolders) record(now time.Duration, key uint64, holder cacheHolder) {
	if h.current == nil || now-h.rotatedAt >= holderLifetime || len(h.current) >= maxHolders {
		h.previous, h.current, h.rotatedAt = h.current, make(map[uint64]cacheHolder), now
	}
	h.current[key] = holder
}

// lookup returns the engine that last read a prompt, if it is known.
func (h *cacheHolders) lookup(key uint64) (cacheHolder, bool) {
	if holder, ok := h.current[key]; ok {
		return holder, true
	}
	holder, ok := h.previous[key]
	return holder, ok
}

// holderOf returns an engine's process, as a holder of prompts.
func (p *Pool) holderOf(id fleet.EngineID) cacheHolder {
	if m := p.members[id]; m != nil {
		return cacheHolder{id, m.joinedAt}
	}
	return cacheHolder{engine: id}
}

// holderMember returns the engine of a holder, or nil if it is gone or has lost its cache in a start since.
func (p *Pool) holderMember(h cacheHolder) *member {
	m := p.members[h.engine]
	if m != nil && m.startedCold && m.joinedAt != h.joinedAt {
		return nil
	}
	return m
}

// forget removes a prompt from the engine that last read it, if that is the given one.
func (h *cacheHolders) forget(key uint64, id fleet.EngineID) {
	for _, generation := range []map[uint64]cacheHolder{h.current, h.previous} {
		if generation[key].engine == id {
			delete(generation, key)
		}
	}
}
