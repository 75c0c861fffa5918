package router

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/replica"
)

const (
	// evacuatedRetryAfter is the shortest Retry-After of requests whose service has engines in evacuated data
	// centres only, and evacuatedRetrySpread the time over which their callers return. The end of an
	// evacuation is not known beforehand.
	evacuatedRetryAfter  = time.Second
	evacuatedRetrySpread = time.Second
)

// evacuation is an operator's order that the engines of a data centre get no requests.
type evacuation struct {
	// since is when this instance learned of the order, and revision that of the order in the store.
	since    time.Duration
	revision uint64
}

// evacuated reports whether the engines of a data centre get no requests.
func (r *Router) evacuated(dc fleet.DataCentre) bool {
	_, ok := r.evacuations[dc]
	return ok
}

// applyEvacuation begins or ends an evacuation. It reports whether engines are affected. The key is the order,
// whatever its value: an order that can't be read completely is safer to follow than to ignore.
func (r *Router) applyEvacuation(f replica.Fact) bool {
	dc, err := r.cfg.StoreDecoder.Evacuation(f.Key, f.Value)
	if err != nil && !f.Deleted {
		r.emit(Decision{Kind: "evacuation_finding", Fields: []any{"key", f.Key, "revision", replica.FormatRevision(f.Revision), "error", err.Error()}})
	}
	if dc == "" {
		return false
	}
	engines := r.enginesIn(dc)
	begun, ongoing := r.evacuations[dc]
	switch {
	case f.Deleted && ongoing:
		delete(r.evacuations, dc)
		r.emit(Decision{Kind: "data_centre_returned", Fields: []any{"data_centre", dc, "revision", replica.FormatRevision(f.Revision),
			"engines", engines, "after_ms", (r.now - begun.since).Milliseconds()}})
		r.dataCentreReturned(dc)
	case !f.Deleted && !ongoing:
		r.evacuations[dc] = evacuation{since: r.now, revision: f.Revision}
		r.emit(Decision{Kind: "data_centre_evacuated", Fields: []any{"data_centre", dc, "revision", replica.FormatRevision(f.Revision), "engines", engines}})
	default:
		return false
	}
	return true
}

// dataCentreReturned is called when the engines of a data centre may get requests again.
func (r *Router) dataCentreReturned(dc fleet.DataCentre) { r.warmUpsOfReturned(dc) }

// isEvacuation reports whether a key of the store orders an evacuation.
func (r *Router) isEvacuation(key string) bool {
	return strings.HasPrefix(key, r.cfg.StoreDecoder.EvacuationPrefix())
}

// enginesIn returns the number of registered engines in a data centre.
func (r *Router) enginesIn(dc fleet.DataCentre) int {
	n := 0
	for _, id := range r.registry.IDs() {
		if e, _ := r.registry.Get(id); e.DataCentre == dc {
			n++
		}
	}
	return n
}

// evacuatedDataCentres returns the data centres whose engines get no requests, sorted.
func (r *Router) evacuatedDataCentres() []fleet.DataCentre {
	list := make([]fleet.DataCentre, 0, len(r.evacuations))
	for dc := range r.evacuations {
		list = append(list, dc)
	}
	slices.SortFunc(list, func(a, b fleet.DataCentre) int { return cmp.Compare(a, b) })
	return list
}
