package timeline

// DefaultCapacity is the number of events that a Ring keeps by default.
const DefaultCapacity = 8192

// Ring keeps the newest events of one incarnation of an instance.
type Ring struct {
	// events grows up to capacity. The event of sequence s is at index (s-1) modulo capacity.
	events       []Event
	capacity     uint64
	lastSequence uint64
}

// NewRing returns an empty ring. If capacity is zero or less, DefaultCapacity is used.
func NewRing(capacity int) *Ring {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Ring{capacity: uint64(capacity)}
}

// Add sets the event's sequence, stores the event and returns it. If the ring is full, the event
// replaces the oldest one.
func (r *Ring) Add(e Event) Event {
	r.lastSequence++
	e.Sequence = r.lastSequence
	if uint64(len(r.events)) < r.capacity {
		r.events = append(r.events, e)
		return e
	}
	r.events[(r.lastSequence-1)%r.capacity] = e
	return e
}

// Last returns the sequence of the newest event, or zero.
func (r *Ring) Last() uint64 { return r.lastSequence }

// Dropped returns the number of events that were overwritten since the start.
func (r *Ring) Dropped() uint64 { return r.lastSequence - uint64(len(r.events)) }

// After returns up to limit events that follow sequence, oldest first, and the number of events
// after sequence that have been overwritten.
func (r *Ring) After(sequence uint64, limit int) (events []Event, dropped uint64) {
	first := max(sequence, r.Dropped())
	dropped = first - sequence
	if first >= r.lastSequence || limit <= 0 {
		return nil, dropped
	}
	count := min(r.lastSequence-first, uint64(limit))
	events = make([]Event, 0, count)
	for s := first + 1; s <= first+count; s++ {
		events = append(events, r.events[(s-1)%r.capacity])
	}
	return events, dropped
}
