package timeline

// DefaultCapacity is the number of events that a Ring keeps by default.
const DefaultCapacity = 8192

// Ring keeps the newest events of one incarnation of an instance.
type Ring struct {
	// events grows up to capacity; then the event of sequence s is at (s-1) modulo capacity.
	events   []Event
	capacity uint64
	last     uint64
}

// NewRing returns an empty ring. A capacity of zero or less is DefaultCapacity.
func NewRing(capacity int) *Ring {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Ring{capacity: uint64(capacity)}
}

// Add sets the event's sequence, keeps it in place of the oldest one if the ring is full,
// and returns it.
func (r *Ring) Add(e Event) Event {
	r.last++
	e.Sequence = r.last
	if uint64(len(r.events)) < r.capacity {
		r.events = append(r.events, e)
		return e
	}
	r.events[(r.last-1)%r.capacity] = e
	return e
}

// Last returns the sequence of the newest event, or zero.
func (r *Ring) Last() uint64 { return r.last }

// Dropped returns the number of events that were overwritten since the start.
func (r *Ring) Dropped() uint64 { return r.last - uint64(len(r.events)) }

// After returns up to limit events that follow sequence, oldest first, and how many that
// followed it were overwritten before.
func (r *Ring) After(sequence uint64, limit int) (events []Event, dropped uint64) {
	first := max(sequence, r.Dropped())
	dropped = first - sequence
	if first >= r.last || limit <= 0 {
		return nil, dropped
	}
	count := min(r.last-first, uint64(limit))
	events = make([]Event, 0, count)
	for s := first + 1; s <= first+count; s++ {
		events = append(events, r.events[(s-1)%r.capacity])
	}
	return events, dropped
}
