package router

import (
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/registry"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/versions"
)

// VersionsPrefix precedes the name of a service in the store. The value is a versionRecord.
const VersionsPrefix = "bilberrywell/versions/"

const (
	// minStreamLife is the least time for which a stream counts as open after its first event, and streamLifeFactor the
	// multiple of the longest timeout of a resumable route: a caller may request the rest after the timeout of its first
	// attempt.
	minStreamLife    = 30 * time.Second
	streamLifeFactor = 2
	// minOriginLife and originSlack, beyond the longest timeout of a resumable route, are how long the origin of a stream is
	// remembered. Without it the stream can't go on, while a version that is forgotten too early damages streams.
	minOriginLife = 10 * time.Second
	originSlack   = 3 * time.Second
	// versionsRetryInterval is the time between two attempts to write the versions of a service, versionsTurn the time that
	// each instance which reads the store waits for the one before it.
	versionsRetryInterval = 2 * time.Second
	versionsTurn          = time.Second
	// suspensionTime is the time without a tick after which the process was suspended or short of processor time. What it
	// then reads within lateReadTime may have been sent before.
	suspensionTime = 250 * time.Millisecond
	lateReadTime   = 100 * time.Millisecond
	// resumptionTime is the time within which an instance that goes on after a suspension has read the store again, or a
	// peer's report of it.
	resumptionTime = WatchWait + 300*time.Millisecond
)

// openVersions is what an instance knows of the versions of one service.
type openVersions struct {
	*versions.Open
	// nextWrite is when this instance next tries to write the record; 0 while it holds what is wanted.
	nextWrite time.Duration
}

// versionRecord is the value of a key with VersionsPrefix.
type versionRecord struct {
	Usable  []fleet.EngineVersion `json:"usable"`
	Opening []fleet.EngineVersion `json:"opening,omitempty"`
}

func versionsKey(service fleet.ServiceID) string {
	return VersionsPrefix + url.PathEscape(string(service))
}

// openOf returns the versions of a service.
func (r *Router) openOf(service fleet.ServiceID) *openVersions {
	o := r.streams.open[service]
	if o == nil {
		o = &openVersions{Open: versions.NewOpen()}
		r.streams.open[service] = o
	}
	life := minStreamLife
	if r.table != nil {
		timeout, _ := r.table.StreamTimeout(service)
		life = max(life, streamLifeFactor*timeout)
	}
	o.SetTimes(life, r.readSilenceLimit())
	return o
}

// setOriginLife sets how long origins of streams are remembered with the configuration in force.
func (r *Router) setOriginLife() {
	life := minOriginLife
	for _, service := range r.table.Services() {
		timeout, _ := r.table.StreamTimeout(service)
		life = max(life, timeout+originSlack)
	}
	r.streams.memory.SetLife(life)
}

// applyVersions adopts the record of the versions of a service. It reports whether engines may have become usable.
func (r *Router) applyVersions(f replica.Fact) bool {
	name, err := url.PathUnescape(strings.TrimPrefix(f.Key, VersionsPrefix))
	var record versionRecord
	if err == nil && !f.Deleted {
		err = json.Unmarshal(f.Value, &record)
	}
	service := fleet.ServiceID(name)
	o := r.openOf(service)
	o.nextWrite = 0
	if f.Deleted {
		o.Unrecorded()
		return false
	}
	if err != nil {
		// The record is written again.
		o.Unreadable()
		r.emit(Decision{Kind: "versions_rejected", Fields: []any{"key", f.Key, "revision", replica.FormatRevision(f.Revision), "error", err.Error()}})
		return false
	}
	o.Recorded(r.now, versions.Record(record))
	r.emit(Decision{Kind: "versions_recorded", Fields: []any{"service", service, "usable", record.Usable, "opening", record.Opening, "revision", replica.FormatRevision(f.Revision)}})
	r.versionsChanged(service, o)
	return true
}

// openingVersions returns the versions of a service's engines at which no stream may begin yet: others serve, and no instance
// may take those for the only ones when streams begin at them. Where most engines are replaced at once, the rest could not
// bear the load.
func (r *Router) openingVersions(service fleet.ServiceID, engines []registry.Engine) map[fleet.EngineVersion]bool {
	if _, resumable := r.table.StreamTimeout(service); !resumable {
		return nil
	}
	o := r.openOf(service)
	registered := make(map[fleet.EngineVersion]bool)
	inService := make(map[fleet.EngineVersion]int)
	all := 0
	for _, e := range engines {
		registered[e.Version] = true
		if !e.Draining && !r.notices.Leaving(runOf(e)) && !r.evacuated(e.DataCentre) {
			inService[e.Version]++
			all++
		}
	}
	o.Registered(r.now, registered)
	r.versionsChanged(service, o)
	for _, preferred := range []func(fleet.EngineVersion) bool{o.Usable, o.Listed} {
		opening := make(map[fleet.EngineVersion]bool)
		serving := 0
		for v := range registered {
			opening[v] = !preferred(v)
			if preferred(v) {
				serving += inService[v]
			}
		}
		if serving > 0 && 2*serving >= all {
			return opening
		}
	}
	return nil
}

// versionsChanged has the origins of this instance's streams kept when they are first needed: streams of the service may have
// begun at a second version, or this instance would not know.
func (r *Router) versionsChanged(service fleet.ServiceID, o *openVersions) {
	keeps := o.Several(r.now) || !r.copyIsRecent()
	if keeps && !r.streams.keeps[service] {
		r.copyAllOrigins(service)
	}
	r.streams.keeps[service] = keeps
}

// tickOpenVersions writes the records of versions that are to change.
func (r *Router) tickOpenVersions() {
	for _, service := range slices.Sorted(maps.Keys(r.streams.open)) {
		o := r.streams.open[service]
		o.Expire(r.now)
		r.versionsChanged(service, o)
	}
	if r.table == nil || !r.store.watching || r.store.lost || !r.store.listed || r.store.settling {
		return
	}
	for _, service := range r.table.Services() {
		if _, resumable := r.table.StreamTimeout(service); resumable {
			r.recordVersions(service, r.openOf(service))
		}
	}
	r.removeRecords()
}

// recordVersions writes the versions of a service to the store if its record differs. The instances that read the store
// take turns until one has succeeded.
func (r *Router) recordVersions(service fleet.ServiceID, o *openVersions) {
	wanted, changed := o.Wanted(r.now)
	switch {
	case !changed:
		o.nextWrite = 0
		return
	case o.nextWrite == 0:
		o.nextWrite = r.now + time.Duration(r.store.rank)*versionsTurn
	}
	if r.now < o.nextWrite {
		return
	}
	o.nextWrite = r.now + versionsRetryInterval
	value, err := json.Marshal(versionRecord(wanted))
	if err != nil {
		r.emit(Decision{Kind: "versions_rejected", Fields: []any{"service", service, "error", err.Error()}})
		return
	}
	key := versionsKey(service)
	r.emit(ReplaceKey{Key: key, Value: value, Revision: r.heldRevision(key)})
}

// heldRevision returns the revision of a key in this instance's copy of the store, or 0 if the store lacks it. It rises when
// the store is restored, also if the value does not change.
func (r *Router) heldRevision(key string) uint64 {
	if f, ok := r.replica.Get(key); ok && !f.Deleted {
		return f.Revision
	}
	return 0
}

// removeRecords removes the records of services that are no longer configured and have no engines.
func (r *Router) removeRecords() {
	for _, service := range slices.Sorted(maps.Keys(r.streams.open)) {
		o := r.streams.open[service]
		_, configured := r.table.Service(service)
		switch {
		case configured || len(r.registry.Service(service)) > 0:
		case r.heldRevision(versionsKey(service)) == 0:
			delete(r.streams.open, service)
			delete(r.streams.keeps, service)
		case r.store.rank == 0 && r.now >= o.nextWrite:
			o.nextWrite = r.now + versionsRetryInterval
			r.emit(RemoveKey{Key: versionsKey(service)})
		}
	}
}

// onlyVersion returns the version at which all streams of a service have begun that can still be open, or false if that
// isn't known.
func (r *Router) onlyVersion(service fleet.ServiceID) (fleet.EngineVersion, bool) {
	o := r.streams.open[service]
	unrecorded := r.store.listed && r.heldRevision(versionsKey(service)) == 0
	if o == nil || !o.HasRecord() && !unrecorded || !r.versionsCurrent() {
		return "", false
	}
	return o.Only(r.now)
}

// copyIsRecent reports whether this instance's copy of the store shows what it held within the time after which readers count
// as lost.
func (r *Router) copyIsRecent() bool { return r.now-r.store.currentAt <= r.readSilenceLimit() }

// versionsCurrent reports whether this instance would know if streams began at a further version: its copy of the store
// is current, or no instance has a copy that is.
func (r *Router) versionsCurrent() bool {
	if r.alone() {
		return true
	}
	if r.copyIsRecent() {
		return r.store.currentAt >= r.streams.resumedAt+lateReadTime
	}
	limit := r.readSilenceLimit()
	for _, id := range r.registeredInstances() {
		p := r.members.linked[id]
		if p == nil || p.lastStatusReport == nil || p.lastReportAt <= r.store.currentAt+limit || r.now-r.peerCurrentAt(p.lastStatusReport) <= limit {
			return false
		}
	}
	return true
}

// confirmsVersion reports whether this instance knows no version of a service but one, and knows from a record that there
// was no other before it started.
func (r *Router) confirmsVersion(service fleet.ServiceID, version fleet.EngineVersion) bool {
	known, only := r.onlyVersion(service)
	return only && known == version && r.streams.open[service].HasRecord()
}

// awaitsNews reports whether this instance knows one version of a service only, and will know within moments whether that still
// holds, because it was suspended until just now.
func (r *Router) awaitsNews(service fleet.ServiceID) bool {
	o := r.streams.open[service]
	if o == nil || r.now-r.streams.resumedAt >= resumptionTime {
		return false
	}
	_, only := o.Only(r.now)
	return only
}

// noticeSuspension records that this instance was suspended or short of processor time.
func (r *Router) noticeSuspension() {
	if r.now-r.streams.tickedAt >= suspensionTime {
		r.streams.tickedAt, r.streams.resumedAt = r.now, r.now
	}
}
