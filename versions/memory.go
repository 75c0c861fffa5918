package versions

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// StreamKey identifies a stream: the hash of the id of the caller's attempt that received its first event.
type StreamKey uint64

// KeyOf returns the key of the stream that began with a caller's attempt, or 0 if the attempt has no id.
func KeyOf(attempt string) StreamKey {
	if attempt == "" {
		return 0
	}
	return StreamKey(fleet.Hash("stream", attempt))
}

// Origin is the service and the software version of the engine that wrote the first event of a stream.
type Origin struct {
	Service fleet.ServiceID
	Version fleet.EngineVersion
}

// Compare orders origins by service and version.
func (o Origin) Compare(other Origin) int {
	return cmp.Or(cmp.Compare(o.Service, other.Service), cmp.Compare(o.Version, other.Version))
}

// maxStreams bounds the origins that an instance remembers, in at most about 4 MB. At the planned peak an instance begins
// 30 streams a second, and keeps copies for as many others twice.
const maxStreams = 1 << 15

// Memory remembers the origins of streams for a time after they were last recorded. It is not safe for concurrent use.
type Memory struct {
	life    time.Duration
	origins map[StreamKey]remembered
	// order lists the recordings by age. A stream that was recorded again is in it more than once.
	order []recording
}

type remembered struct {
	Origin
	// own reports whether this instance has served the stream itself.
	own   bool
	until time.Duration
}

type recording struct {
	key   StreamKey
	until time.Duration
}

// NewMemory returns an empty memory that remembers each origin for a life.
func NewMemory(life time.Duration) *Memory {
	return &Memory{life: life, origins: make(map[StreamKey]remembered)}
}

// SetLife sets for how long what is recorded from now on is remembered.
func (m *Memory) SetLife(life time.Duration) { m.life = life }

// Life returns for how long what is recorded now is remembered.
func (m *Memory) Life() time.Duration { return m.life }

// Record remembers the origin of a stream for half of the life at least, own if this instance serves it. When the memory is
// full, what was recorded longest ago is forgotten.
func (m *Memory) Record(now time.Duration, key StreamKey, origin Origin, own bool) {
	if key == 0 {
		return
	}
	m.Expire(now)
	known, again := m.origins[key]
	own = own || known.own
	if again && known.until-now > m.life/2 {
		// Repeated recordings must not fill the order.
		known.own = own
		m.origins[key] = known
		return
	}
	for !again && len(m.origins) >= maxStreams {
		m.dropOldest()
	}
	until := now + m.life
	m.origins[key] = remembered{Origin: origin, own: own, until: until}
	m.order = append(m.order, recording{key, until})
}

// Lookup returns the origin of a stream, or false if it is not remembered.
func (m *Memory) Lookup(now time.Duration, key StreamKey) (Origin, bool) {
	known, ok := m.origins[key]
	return known.Origin, ok && now < known.until
}

// Own returns the streams of a service that this instance has served, by their version.
func (m *Memory) Own(now time.Duration, service fleet.ServiceID) map[fleet.EngineVersion][]StreamKey {
	list := make(map[fleet.EngineVersion][]StreamKey)
	for _, key := range slices.Sorted(maps.Keys(m.origins)) {
		if known := m.origins[key]; known.own && known.Service == service && now < known.until {
			list[known.Version] = append(list[known.Version], key)
		}
	}
	return list
}

// Len returns the number of streams that are remembered.
func (m *Memory) Len() int { return len(m.origins) }

// Expire forgets what has been remembered for its life.
func (m *Memory) Expire(now time.Duration) {
	for len(m.order) > 0 && m.order[0].until <= now {
		m.dropOldest()
	}
}

// dropOldest forgets the oldest recording, unless the stream was recorded again since.
func (m *Memory) dropOldest() {
	oldest := m.order[0]
	m.order = m.order[1:]
	if m.origins[oldest.key].until <= oldest.until {
		delete(m.origins, oldest.key)
	}
}
