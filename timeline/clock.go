package timeline

import "time"

// HLC is a time of a hybrid logical clock: Unix milliseconds in the upper 48 bits, a counter in
// the lower 16. A counter that overflows carries into the milliseconds.
type HLC uint64

const counterBits = 16

// UnixMilli returns the physical part as Unix milliseconds.
func (h HLC) UnixMilli() int64 { return int64(h >> counterBits) }

// Time returns the physical part as a time in UTC.
func (h HLC) Time() time.Time { return time.UnixMilli(h.UnixMilli()).UTC() }

// MaxAhead is the longest time by which a remote stamp may be ahead of the local wall clock and
// still advance the local clock. It prevents one instance with a wall clock far in the future from
// moving the stamps of the whole fleet there. Events caused by a message with a stamp further ahead
// are put in order only if they name their cause.
const MaxAhead = time.Minute

// Clock is a hybrid logical clock. The zero value is ready for use.
type Clock struct {
	// last is the stamp returned last.
	last HLC
}

// Now returns the stamp of a local event or an outgoing message. wall is the wall clock in
// Unix milliseconds. Each stamp is greater than all earlier ones.
func (c *Clock) Now(wall int64) HLC {
	c.last = max(c.last+1, stampOf(wall))
	return c.last
}

// Observe returns the stamp of the receipt of a message that carries the stamp remote. It is
// greater than all earlier stamps, and greater than remote unless remote is more than MaxAhead
// ahead of wall.
func (c *Clock) Observe(remote HLC, wall int64) HLC {
	if remote.UnixMilli()-wall <= MaxAhead.Milliseconds() {
		c.last = max(c.last, remote)
	}
	return c.Now(wall)
}

func stampOf(wall int64) HLC {
	return HLC(max(wall, 0)) << counterBits
}
