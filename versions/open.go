package versions

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Record is what the instances have on record of the versions of a service.
type Record struct {
	// Usable holds the versions at which streams may begin, Opening those that wait until all instances know of them.
	Usable, Opening []fleet.EngineVersion
}

// Open tells at which versions of one service's engines streams may have begun that are still open. The instances keep
// a record of them that outlasts their memory: a version is added before streams begin at it, and removed when it has had
// no engine for as long as streams last. It is not safe for concurrent use.
type Open struct {
	// life is how long a stream can stay open, settle how long a version is opening before it is usable. Instances know
	// of an older record.
	life, settle time.Duration
	// record is nil until one is known, and after it is gone. recorded is set from the first one on, unless one can't be read.
	record   *Record
	recorded bool
	// openingSince holds when this instance learnt of the versions that are opening.
	openingSince map[fleet.EngineVersion]time.Duration
	// registered holds the versions of the engines that are registered now.
	registered map[fleet.EngineVersion]bool
	// lastSeen holds when the last engine of a version was registered, or when this instance first learnt of the version.
	lastSeen map[fleet.EngineVersion]time.Duration
}

// NewOpen returns the state of a service of which nothing is known.
func NewOpen() *Open {
	return &Open{registered: make(map[fleet.EngineVersion]bool), lastSeen: make(map[fleet.EngineVersion]time.Duration)}
}

// SetTimes sets how long a stream can stay open, and how long a version must be opening before it is usable.
// The former never falls, because streams may be open that began when it was longer.
func (o *Open) SetTimes(life, settle time.Duration) { o.life, o.settle = max(o.life, life), settle }

// Recorded sets what is on record.
func (o *Open) Recorded(now time.Duration, record Record) {
	opening := make(map[fleet.EngineVersion]time.Duration)
	for _, v := range record.Opening {
		opening[v] = now
		if since, known := o.openingSince[v]; known {
			opening[v] = since
		}
	}
	for _, v := range slices.Concat(record.Usable, record.Opening) {
		if _, known := o.lastSeen[v]; !known {
			o.lastSeen[v] = now
		}
	}
	o.record, o.openingSince, o.recorded = &record, opening, true
}

// Unrecorded records that the record is gone, because the store was restored from a copy without it. What this instance
// has learnt still counts.
func (o *Open) Unrecorded() { o.record, o.openingSince = nil, nil }

// Unreadable records that the record can't be read, so that it may hold versions of which this instance knows nothing.
func (o *Open) Unreadable() { o.record, o.openingSince, o.recorded = nil, nil, false }

// Registered sets the versions of the engines that are registered now.
func (o *Open) Registered(now time.Duration, versions map[fleet.EngineVersion]bool) {
	for v := range o.registered {
		o.lastSeen[v] = now
	}
	for v := range versions {
		o.lastSeen[v] = now
	}
	o.registered = versions
}

// current returns the versions at which streams may have begun, as far as this instance knows.
func (o *Open) current(now time.Duration) map[fleet.EngineVersion]bool {
	list := maps.Clone(o.registered)
	for _, v := range o.onRecord() {
		list[v] = true
	}
	for v, seen := range o.lastSeen {
		if now-seen < o.life {
			list[v] = true
		}
	}
	return list
}

// onRecord returns all versions on record.
func (o *Open) onRecord() []fleet.EngineVersion {
	if o.record == nil {
		return nil
	}
	return slices.Concat(o.record.Usable, o.record.Opening)
}

// Only returns the version at which all streams have begun that can still be open, or false if there may be more than
// one. Without a record, that is true only if the store has none either.
func (o *Open) Only(now time.Duration) (fleet.EngineVersion, bool) {
	current := o.current(now)
	if len(current) != 1 {
		return "", false
	}
	for v := range current {
		return v, true
	}
	return "", false
}

// HasRecord reports whether a record is known, or was until the store lost it.
func (o *Open) HasRecord() bool { return o.recorded }

// Several reports whether streams may have begun at more than one version, so that their origins must be kept.
func (o *Open) Several(now time.Duration) bool { return len(o.current(now)) > 1 }

// Usable reports whether streams may begin at a version while others serve.
func (o *Open) Usable(v fleet.EngineVersion) bool {
	return o.record == nil || slices.Contains(o.record.Usable, v)
}

// Listed reports whether a version is on record.
func (o *Open) Listed(v fleet.EngineVersion) bool { return slices.Contains(o.onRecord(), v) }

// Wanted returns what the record should hold, or false if it holds that. The first versions of a service are usable at
// once, later ones when they have been opening for the settle time. A record is never emptied: without any engine, the
// streams that have begun are still those of the versions on it.
func (o *Open) Wanted(now time.Duration) (Record, bool) {
	var wanted Record
	for _, v := range o.onRecord() {
		since, opening := o.openingSince[v]
		switch {
		case !o.registered[v] && now-o.lastSeen[v] >= o.life:
		case opening && now-since < o.settle:
			wanted.Opening = append(wanted.Opening, v)
		default:
			wanted.Usable = append(wanted.Usable, v)
		}
	}
	if o.record == nil {
		// The record of a restored store holds what was open before.
		wanted.Usable = slices.Sorted(maps.Keys(o.current(now)))
	}
	for _, v := range slices.Sorted(maps.Keys(o.registered)) {
		if o.record != nil && !o.Listed(v) {
			wanted.Opening = append(wanted.Opening, v)
		}
	}
	if len(wanted.Usable)+len(wanted.Opening) == 0 {
		return Record{}, false
	}
	changed := o.record == nil || !slices.Equal(wanted.Usable, o.record.Usable) || !slices.Equal(wanted.Opening, o.record.Opening)
	return wanted, changed
}

// Expire forgets versions that are neither registered nor on record, once their streams have ended.
func (o *Open) Expire(now time.Duration) {
	maps.DeleteFunc(o.lastSeen, func(v fleet.EngineVersion, seen time.Duration) bool {
		return !slices.Contains(o.onRecord(), v) && !o.registered[v] && now-seen >= o.life
	})
}
