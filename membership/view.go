package membership

import (
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// state is what the view last reported about an instance.
type state uint8

const (
	stateUnknown state = iota
	stateLive
	stateSilent
)

// record is the view's knowledge of one instance.
type record struct {
	Instance
	incarnation uint64
	state       state
	// draining is the reported value; it changes only while the instance is live.
	draining bool

	listed, leaving bool
	beatDraining    bool
	heard           bool
	heardAt         time.Duration
	interval        time.Duration
	// expected tells that heartbeats should arrive, so that silence is evidence.
	expected bool
	// trustUntil is the time until which the instance counts as live without being heard.
	trustUntil time.Duration
	// holdUntil keeps an instance that fell silent out of Live after Expect no longer names
	// it. Without the hold, the link plan would choose the same dead instance again at once.
	holdUntil time.Duration
}

// View is one instance's view of the fleet. It is not safe for concurrent use.
type View struct {
	self    fleet.InstanceID
	region  fleet.Region
	config  Config
	records map[fleet.InstanceID]*record
	// order holds the IDs of records, sorted, so that changes come in the same order everywhere.
	order  []fleet.InstanceID
	linked map[fleet.InstanceID]bool
	epoch  uint64

	hasList    bool
	probation  time.Duration
	lastJudge  time.Duration
	judgeAfter time.Duration
}

// New returns a view that holds self as live.
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

// SetInterval changes the own heartbeat interval.
func (v *View) SetInterval(interval time.Duration) {
	v.config.Interval = max(interval, MinInterval)
}

// Expect names the instances of other regions that this one opens links to. Silence of
// instances of those regions that are neither named nor were heard is no evidence.
func (v *View) Expect(now time.Duration, linked []fleet.InstanceID) {
	v.linked = make(map[fleet.InstanceID]bool, len(linked))
	for _, id := range linked {
		v.linked[id] = true
	}
	for _, id := range v.order {
		r := v.records[id]
		before := r.expected
		r.expected = v.isExpected(r)
		if r.expected && !before && r.state == stateLive {
			r.trustUntil = max(r.trustUntil, now+v.config.Probation)
		}
	}
}

func (v *View) isExpected(r *record) bool {
	return r.Region == v.region || r.heard || v.linked[r.ID]
}

// List replaces the platform's list. It is called only with complete answers; while the
// platform does not answer, the last list stands.
func (v *View) List(now time.Duration, rows []Row) []Change {
	if !v.hasList {
		v.hasList = true
		v.probation = now + v.config.Probation
	}
	present := make(map[fleet.InstanceID]bool, len(rows))
	for _, row := range rows {
		present[row.ID] = true
		v.listRow(row)
	}
	for _, id := range v.order {
		if r := v.records[id]; r.listed && !present[id] {
			v.delist(now, r)
		}
	}
	return v.judge(now)
}

func (v *View) listRow(row Row) {
	r := v.records[row.ID]
	if r == nil {
		r = v.add(row.Instance)
		r.trustUntil = v.probation
	}
	if r.ID != v.self {
		r.Instance = row.Instance
	}
	r.listed, r.leaving = true, row.Leaving
	r.expected = v.isExpected(r)
}

func (v *View) delist(now time.Duration, r *record) {
	r.listed, r.leaving = false, false
	if !r.expected {
		// The list was the only evidence; a short gap in it must not drop a whole region.
		r.trustUntil = max(r.trustUntil, now+v.silence(r))
	}
}

// Heard records a heartbeat. Heartbeats of the own instance and of superseded incarnations
// are ignored.
func (v *View) Heard(now time.Duration, beat Beat) []Change {
	if beat.ID == v.self {
		return nil
	}
	r := v.records[beat.ID]
	if r == nil {
		r = v.add(beat.Instance)
	}
	if r.heard && beat.Incarnation < r.incarnation && !v.quiet(now, r) {
		return nil
	}
	var changes []Change
	if r.heard && beat.Incarnation != r.incarnation {
		changes = v.replace(r)
	}
	v.hear(now, r, beat)
	return append(changes, v.judgeOne(now, r)...)
}

// replace reports the current incarnation as gone, if it was reported at all.
func (v *View) replace(r *record) []Change {
	reported := r.state != stateUnknown
	old := r.incarnation
	r.state, r.draining, r.beatDraining = stateUnknown, false, false
	if !reported {
		return nil
	}
	return []Change{v.change(Gone, r, old)}
}

func (v *View) hear(now time.Duration, r *record, beat Beat) {
	if !r.listed {
		r.Instance = beat.Instance
	}
	r.incarnation = beat.Incarnation
	r.heard, r.heardAt = true, now
	r.interval, r.beatDraining = beat.Interval, beat.Draining
	r.holdUntil = 0
	r.expected = v.isExpected(r)
}

// SetDraining sets whether the own instance is draining.
func (v *View) SetDraining(now time.Duration, draining bool) []Change {
	r := v.records[v.self]
	r.beatDraining = draining
	return v.judgeOne(now, r)
}

// Tick judges silence. It must be called at least once per second: after a gap of
// MinSilence this process was paused itself and heartbeats wait in its sockets, so
// judgement is put off by one interval.
func (v *View) Tick(now time.Duration) []Change {
	return v.judge(now)
}

func (v *View) judge(now time.Duration) []Change {
	if now-v.lastJudge >= MinSilence {
		v.judgeAfter = now + v.config.Interval
	}
	v.lastJudge = now
	var changes []Change
	for _, id := range slices.Clone(v.order) {
		changes = append(changes, v.judgeOne(now, v.records[id])...)
	}
	return changes
}

// judgeOne moves a record to the state that the evidence supports and reports the steps.
func (v *View) judgeOne(now time.Duration, r *record) []Change {
	if v.silent(now, r) {
		return v.judgeSilent(now, r)
	}
	var changes []Change
	switch r.state {
	case stateUnknown:
		r.draining = false
		changes = append(changes, v.change(Joined, r, r.incarnation))
	case stateSilent:
		changes = append(changes, v.change(Resumed, r, r.incarnation))
	}
	r.state = stateLive
	return append(changes, v.judgeDraining(r)...)
}

func (v *View) judgeDraining(r *record) []Change {
	draining := r.leaving || r.beatDraining
	if draining == r.draining {
		return nil
	}
	r.draining = draining
	if draining {
		return []Change{v.change(Draining, r, r.incarnation)}
	}
	return []Change{v.change(Resumed, r, r.incarnation)}
}

func (v *View) judgeSilent(now time.Duration, r *record) []Change {
	if now < v.judgeAfter {
		return nil
	}
	var changes []Change
	if r.state == stateLive {
		r.state = stateSilent
		r.holdUntil = now + v.config.LongSilence
		changes = append(changes, v.change(Silent, r, r.incarnation))
	}
	if r.state == stateSilent && v.dead(now, r) {
		changes = append(changes, v.change(Gone, r, r.incarnation))
		v.forget(r)
	}
	if r.state == stateUnknown && !r.listed {
		v.remove(r.ID)
	}
	return changes
}

// forget drops what was heard from an instance that is believed dead.
func (v *View) forget(r *record) {
	r.state, r.heard, r.incarnation = stateUnknown, false, 0
	r.draining, r.beatDraining = false, false
	r.expected = v.isExpected(r)
}

// silent tells whether an instance doesn't count as live.
func (v *View) silent(now time.Duration, r *record) bool {
	if r.ID == v.self {
		return false
	}
	if r.listed && !r.expected {
		return now < r.holdUntil
	}
	return v.quiet(now, r)
}

// quiet tells whether an instance was not heard for its silence limit and is out of probation.
func (v *View) quiet(now time.Duration, r *record) bool {
	return now >= v.quietAt(r)
}

func (v *View) quietAt(r *record) time.Duration {
	if !r.heard {
		return r.trustUntil
	}
	return max(r.trustUntil, r.heardAt+v.silence(r))
}

func (v *View) dead(now time.Duration, r *record) bool {
	if !r.listed {
		return v.quiet(now, r)
	}
	extra := max(0, v.config.LongSilence-v.silence(r))
	return r.expected && now >= v.quietAt(r)+extra
}

// silence returns the time without heartbeats after which an instance is silent.
func (v *View) silence(r *record) time.Duration {
	interval := max(v.config.Interval, r.interval)
	return max(MinSilence, silentIntervals*interval)
}

func (v *View) change(kind Kind, r *record, incarnation uint64) Change {
	v.epoch++
	return Change{Kind: kind, Instance: r.ID, Incarnation: incarnation}
}

func (v *View) add(instance Instance) *record {
	r := &record{Instance: instance}
	r.expected = v.isExpected(r)
	v.records[instance.ID] = r
	at, _ := slices.BinarySearch(v.order, instance.ID)
	v.order = slices.Insert(v.order, at, instance.ID)
	return r
}

func (v *View) remove(id fleet.InstanceID) {
	delete(v.records, id)
	if at, found := slices.BinarySearch(v.order, id); found {
		v.order = slices.Delete(v.order, at, at+1)
	}
}
