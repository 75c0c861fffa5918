package membership

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// state is the state of an instance that the view's changes last reported.
type state uint8

const (
	// stateUnknown: no change was reported, or the instance was reported as gone.
	stateUnknown state = iota
	stateLive
	stateSilent
)

// record holds what the view knows of one instance.
type record struct {
	Instance
	incarnation uint64
	state       state
	// draining is whether changes last reported the instance as draining. It changes only while the
	// instance is live.
	draining bool

	// listed and leaving are from the platform's list, heartbeatDraining and interval from the last
	// heartbeat.
	listed, leaving   bool
	heartbeatDraining bool
	// heartbeatReceived is set from the first heartbeat until the instance is presumed dead.
	heartbeatReceived bool
	lastHeartbeatAt   time.Duration
	interval          time.Duration
	// expected is set if heartbeats of the instance should arrive, so that it is silent without them.
	expected bool
	// assumedLiveUntil is the time until which the instance counts as live without heartbeats.
	assumedLiveUntil time.Duration
	// excludedUntil is the time until which an instance that became silent is not live again merely
	// because SetLinked no longer names it. Otherwise the link plan would choose the same dead instance
	// again at once.
	excludedUntil time.Duration
}

// View is one instance's view of the fleet. It is not safe for concurrent use.
type View struct {
	self    fleet.InstanceID
	region  fleet.Region
	config  Config
	records map[fleet.InstanceID]*record
	// sortedIDs holds the keys of records, so that changes have the same order at all instances.
	sortedIDs []fleet.InstanceID
	// linkedRemote holds the instances that the last call of SetLinked named.
	linkedRemote map[fleet.InstanceID]bool
	epoch        uint64

	hasList          bool
	startupGraceEnds time.Duration
	// lastEvaluation is when evaluate last ran. Before silenceCountsFrom no instance becomes silent.
	lastEvaluation    time.Duration
	silenceCountsFrom time.Duration
}

// New returns a view in which only self is known, as live.
func New(self Instance, incarnation uint64, config Config) *View {
	v := &View{
		self:    self.ID,
		region:  self.Region,
		config:  config.withDefaults(),
		records: map[fleet.InstanceID]*record{},
		epoch:   1,
	}
	r := v.add(self)
	r.incarnation, r.state = incarnation, stateLive
	return v
}

// SetInterval changes this instance's heartbeat interval.
func (v *View) SetInterval(interval time.Duration) {
	v.config.Interval = max(interval, MinInterval)
}

// SetLinked sets the instances of other regions to which this instance opens links. An instance of
// another region that is not named here and has sent no heartbeat does not become silent for lack of
// heartbeats.
func (v *View) SetLinked(now time.Duration, linked []fleet.InstanceID) {
	v.linkedRemote = make(map[fleet.InstanceID]bool, len(linked))
	for _, id := range linked {
		v.linkedRemote[id] = true
	}
	for _, id := range v.sortedIDs {
		r := v.records[id]
		wasExpected := r.expected
		r.expected = v.isExpected(r)
		if r.expected && !wasExpected && r.state == stateLive {
			r.assumedLiveUntil = max(r.assumedLiveUntil, now+v.config.StartupGrace)
		}
	}
}

// isExpected reports whether heartbeats of an instance should arrive.
func (v *View) isExpected(r *record) bool {
	return r.Region == v.region || r.heartbeatReceived || v.linkedRemote[r.ID]
}

// List replaces the platform's list. It must be called only with complete answers; while the
// platform does not answer, the last list stays in use.
func (v *View) List(now time.Duration, rows []Row) []Change {
	if !v.hasList {
		v.hasList = true
		v.startupGraceEnds = now + v.config.StartupGrace
	}
	present := make(map[fleet.InstanceID]bool, len(rows))
	for _, row := range rows {
		present[row.ID] = true
		v.applyListRow(row)
	}
	for _, id := range v.sortedIDs {
		if r := v.records[id]; r.listed && !present[id] {
			v.unlist(now, r)
		}
	}
	return v.evaluate(now)
}

// applyListRow records that an instance is in the platform's list.
func (v *View) applyListRow(row Row) {
	r := v.records[row.ID]
	if r == nil {
		r = v.add(row.Instance)
		r.assumedLiveUntil = v.startupGraceEnds
	}
	if r.ID != v.self {
		r.Instance = row.Instance
	}
	r.listed, r.leaving = true, row.Leaving
	r.expected = v.isExpected(r)
}

// unlist records that an instance is no longer in the platform's list.
func (v *View) unlist(now time.Duration, r *record) {
	r.listed, r.leaving = false, false
	if !r.expected {
		// The list was the only evidence that the instance is live. A region that is missing from the
		// list for a short time must not be dropped.
		r.assumedLiveUntil = max(r.assumedLiveUntil, now+v.silenceLimit(r))
	}
}

// HandleHeartbeat handles a received heartbeat. Heartbeats of this instance itself and of superseded
// incarnations are ignored.
func (v *View) HandleHeartbeat(now time.Duration, heartbeat Heartbeat) []Change {
	if heartbeat.ID == v.self {
		return nil
	}
	r := v.records[heartbeat.ID]
	if r == nil {
		r = v.add(heartbeat.Instance)
	}
	if r.heartbeatReceived && heartbeat.Incarnation < r.incarnation && !v.timedOut(now, r) {
		return nil
	}
	var changes []Change
	if r.heartbeatReceived && heartbeat.Incarnation != r.incarnation {
		changes = v.endIncarnation(r)
	}
	v.recordHeartbeat(now, r, heartbeat)
	return append(changes, v.evaluateRecord(now, r)...)
}

// endIncarnation ends the current incarnation of an instance, and reports it as gone if it was
// reported before.
func (v *View) endIncarnation(r *record) []Change {
	reported := r.state != stateUnknown
	old := r.incarnation
	r.state, r.draining, r.heartbeatDraining = stateUnknown, false, false
	if !reported {
		return nil
	}
	return []Change{v.newChange(Gone, r, old)}
}

// recordHeartbeat updates a record with a heartbeat.
func (v *View) recordHeartbeat(now time.Duration, r *record, heartbeat Heartbeat) {
	if !r.listed {
		r.Instance = heartbeat.Instance
	}
	r.incarnation = heartbeat.Incarnation
	r.heartbeatReceived, r.lastHeartbeatAt = true, now
	r.interval, r.heartbeatDraining = heartbeat.Interval, heartbeat.Draining
	r.excludedUntil = 0
	r.expected = v.isExpected(r)
}

// SetDraining sets whether this instance is draining.
func (v *View) SetDraining(now time.Duration, draining bool) []Change {
	r := v.records[v.self]
	r.heartbeatDraining = draining
	return v.evaluateRecord(now, r)
}

// Tick reports the instances that became silent or are gone. It must be called at least once per
// second: a gap of MinSilence means that this process itself was paused and heartbeats are waiting in
// its sockets, so no instance becomes silent for one more interval.
func (v *View) Tick(now time.Duration) []Change {
	return v.evaluate(now)
}

// evaluate updates the state of all instances and returns the changes.
func (v *View) evaluate(now time.Duration) []Change {
	if now-v.lastEvaluation >= MinSilence {
		v.silenceCountsFrom = now + v.config.Interval
	}
	v.lastEvaluation = now
	var changes []Change
	for _, id := range slices.Clone(v.sortedIDs) {
		changes = append(changes, v.evaluateRecord(now, v.records[id])...)
	}
	return changes
}

// evaluateRecord updates the state of one instance and returns the changes.
func (v *View) evaluateRecord(now time.Duration, r *record) []Change {
	if v.notLive(now, r) {
		return v.evaluateSilent(now, r)
	}
	var changes []Change
	switch r.state {
	case stateUnknown:
		r.draining = false
		changes = append(changes, v.newChange(Joined, r, r.incarnation))
	case stateSilent:
		changes = append(changes, v.newChange(Resumed, r, r.incarnation))
	}
	r.state = stateLive
	return append(changes, v.evaluateDraining(r)...)
}

// evaluateDraining updates whether a live instance is draining and returns the change.
func (v *View) evaluateDraining(r *record) []Change {
	draining := r.leaving || r.heartbeatDraining
	if draining == r.draining {
		return nil
	}
	r.draining = draining
	if draining {
		return []Change{v.newChange(Draining, r, r.incarnation)}
	}
	return []Change{v.newChange(Resumed, r, r.incarnation)}
}

// evaluateSilent updates the state of an instance that does not count as live and returns the changes.
func (v *View) evaluateSilent(now time.Duration, r *record) []Change {
	if now < v.silenceCountsFrom {
		return nil
	}
	var changes []Change
	if r.state == stateLive {
		r.state = stateSilent
		r.excludedUntil = now + v.config.DeadAfter
		changes = append(changes, v.newChange(Silent, r, r.incarnation))
	}
	if r.state == stateSilent && v.presumedDead(now, r) {
		changes = append(changes, v.newChange(Gone, r, r.incarnation))
		v.resetHeartbeat(r)
	}
	if r.state == stateUnknown && !r.listed {
		v.remove(r.ID)
	}
	return changes
}

// resetHeartbeat clears what heartbeats said of an instance that is presumed dead.
func (v *View) resetHeartbeat(r *record) {
	r.state, r.heartbeatReceived, r.incarnation = stateUnknown, false, 0
	r.draining, r.heartbeatDraining = false, false
	r.expected = v.isExpected(r)
}

// notLive reports whether an instance does not count as live.
func (v *View) notLive(now time.Duration, r *record) bool {
	if r.ID == v.self {
		return false
	}
	if r.listed && !r.expected {
		return now < r.excludedUntil
	}
	return v.timedOut(now, r)
}

// timedOut reports whether no heartbeat of an instance arrived within its silence limit and it is no
// longer assumed to be live.
func (v *View) timedOut(now time.Duration, r *record) bool {
	return now >= v.timeoutAt(r)
}

// timeoutAt returns the time from which timedOut holds without a further heartbeat.
func (v *View) timeoutAt(r *record) time.Duration {
	if !r.heartbeatReceived {
		return r.assumedLiveUntil
	}
	return max(r.assumedLiveUntil, r.lastHeartbeatAt+v.silenceLimit(r))
}

// presumedDead reports whether a silent instance is presumed dead: at once if it is not listed, and
// after DeadAfter without heartbeats if it is listed and heartbeats are expected of it.
func (v *View) presumedDead(now time.Duration, r *record) bool {
	if !r.listed {
		return v.timedOut(now, r)
	}
	extra := max(0, v.config.DeadAfter-v.silenceLimit(r))
	return r.expected && now >= v.timeoutAt(r)+extra
}

// silenceLimit returns the time without heartbeats after which an instance is silent.
func (v *View) silenceLimit(r *record) time.Duration {
	interval := max(v.config.Interval, r.interval)
	return max(MinSilence, silentIntervals*interval)
}

// newChange returns a change and raises the epoch.
func (v *View) newChange(kind Kind, r *record, incarnation uint64) Change {
	v.epoch++
	return Change{Kind: kind, Instance: r.ID, Incarnation: incarnation}
}

func (v *View) add(instance Instance) *record {
	r := &record{Instance: instance}
	r.expected = v.isExpected(r)
	v.records[instance.ID] = r
	at, _ := slices.BinarySearch(v.sortedIDs, instance.ID)
	v.sortedIDs = slices.Insert(v.sortedIDs, at, instance.ID)
	return r
}

func (v *View) remove(id fleet.InstanceID) {
	delete(v.records, id)
	if at, found := slices.BinarySearch(v.sortedIDs, id); found {
		v.sortedIDs = slices.Delete(v.sortedIDs, at, at+1)
	}
}
