package router

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/replica"
)

const (
	// fleetStep is the granularity of time in a storeFleet, and the time that a message or a store call takes.
	fleetStep = 5 * time.Millisecond
	// fleetHeartbeat is the time between two writes of an engine's registration.
	fleetHeartbeat = 2 * time.Second
	// The others are those of packages gateway, platform and peer.
	fleetTick        = 50 * time.Millisecond
	fleetCallTimeout = 1500 * time.Millisecond
	fleetRetryPause  = 250 * time.Millisecond
	fleetStartPause  = 750 * time.Millisecond
	fleetLinkSilence = 3 * time.Second
)

// storeFleet runs routers with their links and their readers of a store in virtual time.
type storeFleet struct {
	t       *testing.T
	now     time.Duration
	ids     []fleet.InstanceID
	members map[fleet.InstanceID]*fleetMember
	store   fleetStore
	pending []fleetMessage
	// silent are instances without a router: the others are linked to them, and they are live.
	silent []fleet.InstanceID
	// received counts the bytes that each instance received.
	received map[fleet.InstanceID]int
	// plans holds what is to happen at a time.
	plans map[time.Duration]func()
	// configBytes is the least size of the configurations that are published.
	configBytes int
	// engineVersion is that of the engines with which the fleet starts. If it is set, instances write to the store.
	engineVersion string
}

type fleetMember struct {
	s           *session
	incarnation uint64
	index       int
	// dark is set without power, frozen while the process stands still, cut without a path to other instances.
	dark, frozen, cut bool
	// noStore is set without a path to the store; calls then hang.
	noStore bool
	links   map[fleet.InstanceID]*fleetLink
	reader  fleetReader
	// known is the version of the configuration in force, and knownAt when it was put in force.
	known   uint64
	knownAt time.Duration
	// ended holds what became of each call: the Send of its first attempt or the Refuse.
	ended map[CallID]Effect
	// replaced counts the writes of records that the instance asked for.
	replaced int
}

// fleetLink is one end of a link. lastHeard is when the path to the peer last worked.
type fleetLink struct {
	incarnation uint64
	lastHeard   time.Duration
}

type fleetMessage struct {
	from, to                       fleet.InstanceID
	fromIncarnation, toIncarnation uint64
	message                        wire.Message
	size                           int
}

// fleetReader reads the store as package gateway does.
type fleetReader struct {
	on, listed, listedOnce, calling bool
	interval, retryInterval         time.Duration
	revision                        uint64
	startedAt, nextCall             time.Duration
}

// fleetStore is a store that counts the calls for lists and changes.
type fleetStore struct {
	revision uint64
	history  []replica.Fact
	// away is set while calls get no answer, refuses while they are refused at once.
	away, refuses bool
	calls         int
}

func (s *fleetStore) put(key, value string) {
	s.revision++
	s.history = append(s.history, replica.Fact{Key: key, Revision: s.revision, Value: []byte(value)})
}

func (s *fleetStore) remove(key string) {
	s.revision++
	s.history = append(s.history, replica.Fact{Key: key, Revision: s.revision, Deleted: true})
}

func (s *fleetStore) list() []replica.Fact {
	copied := replica.New(nil)
	copied.Merge(s.history)
	return copied.All()
}

func (s *fleetStore) after(revision uint64) []replica.Fact {
	i := len(s.history)
	for i > 0 && s.history[i-1].Revision > revision {
		i--
	}
	return s.history[i:]
}

func newStoreFleet(t *testing.T, n, engines int) *storeFleet {
	return newVersionedFleet(t, n, engines, "")
}

func newVersionedFleet(t *testing.T, n, engines int, version string) *storeFleet {
	f := &storeFleet{t: t, members: map[fleet.InstanceID]*fleetMember{}, received: map[fleet.InstanceID]int{}, plans: map[time.Duration]func(){}, engineVersion: version}
	f.store.put("config", "1")
	for i := range engines {
		f.store.put(fmt.Sprintf("engines/e%d", i), f.registration("ready"))
	}
	for i := range n {
		id := fleet.InstanceID(fmt.Sprintf("i%03d", i))
		f.ids = append(f.ids, id)
		f.members[id] = &fleetMember{index: i}
		if version != "" {
			f.store.put(InstancePrefix+string(id), "{}")
		}
		f.start(id)
	}
	f.run(4 * time.Second)
	return f
}

// start starts the process of an instance that has none.
func (f *storeFleet) start(id fleet.InstanceID) {
	m := f.members[id]
	m.incarnation++
	m.s = &session{t: f.t, r: New(Config{Instance: id, Incarnation: m.incarnation, DataCentre: "dc", StoreDecoder: fakeDecoder{}})}
	m.links, m.reader = map[fleet.InstanceID]*fleetLink{}, fleetReader{}
	m.known, m.dark, m.ended = 0, false, map[CallID]Effect{}
	f.linkSilent(id)
}

// at plans an event for a time, which is a multiple of fleetStep.
func (f *storeFleet) at(when time.Duration, event func()) { f.plans[when] = event }

// publish writes a configuration, and returns its version.
func (f *storeFleet) publish() uint64 {
	version := f.store.revision + 1
	f.store.put("config", fmt.Sprintf("%-*d", f.configBytes, version))
	return version
}

// readers returns the instances that read the store.
func (f *storeFleet) readers() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for _, id := range f.ids {
		if m := f.members[id]; !m.dark && m.reader.on {
			ids = append(ids, id)
		}
	}
	return ids
}

// watcherOrder returns the instances in the order in which they are to read the store.
func (f *storeFleet) watcherOrder() []fleet.InstanceID {
	return slices.SortedFunc(slices.Values(f.ids), func(a, b fleet.InstanceID) int { return cmp.Compare(watcherScore(b), watcherScore(a)) })
}

// untilHeartbeat returns the time until the next heartbeat of an engine has been read and announced.
func (f *storeFleet) untilHeartbeat() time.Duration {
	return fleetHeartbeat - f.now%fleetHeartbeat + 10*fleetStep
}

// requireInForce checks that all working instances have put a version in force by a time.
func (f *storeFleet) requireInForce(version uint64, by time.Duration) {
	f.t.Helper()
	for _, id := range f.ids {
		if m := f.members[id]; !m.dark && !m.frozen {
			require.Equal(f.t, version, m.known, "version at %s", id)
			require.LessOrEqual(f.t, m.knownAt, by, "time at %s", id)
		}
	}
}

func (f *storeFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += fleetStep
		if event := f.plans[f.now]; event != nil {
			event()
		}
		if f.now%fleetHeartbeat == 0 {
			f.heartbeat()
		}
		f.deliver()
		for _, id := range f.ids {
			m := f.members[id]
			if m.dark || m.frozen {
				continue
			}
			f.read(id, m)
			if (f.now+time.Duration(m.index)*fleetStep)%fleetTick == 0 {
				f.maintainLinks(id, m)
				f.step(id, Tick{})
			}
		}
	}
}

// heartbeat lets one engine write its registration again, without a change of its meaning.
func (f *storeFleet) heartbeat() {
	f.store.put("engines/e0", f.registration(fmt.Sprintf("ready@n%d", f.now)))
}

// registration returns the value of an engine with which the fleet starts.
func (f *storeFleet) registration(state string) string {
	if f.engineVersion != "" {
		state += "#" + f.engineVersion
	}
	return state
}

func (f *storeFleet) connected(a, b fleet.InstanceID) bool {
	m, n := f.members[a], f.members[b]
	return !m.dark && !n.dark && !m.cut && !n.cut
}

// maintainLinks opens and closes the links of an instance.
func (f *storeFleet) maintainLinks(id fleet.InstanceID, m *fleetMember) {
	for _, peer := range f.ids {
		if peer == id {
			continue
		}
		other, l := f.members[peer], m.links[peer]
		switch path := f.connected(id, peer); {
		case path && l == nil && !other.frozen:
			f.open(id, peer)
			f.open(peer, id)
		case l == nil:
		case path && l.incarnation != other.incarnation:
			f.close(id, peer)
		case path && !other.frozen:
			l.lastHeard = f.now
		case f.now-l.lastHeard >= fleetLinkSilence:
			f.close(id, peer)
		}
	}
}

func (f *storeFleet) open(id, peer fleet.InstanceID) {
	if f.members[id].links[peer] != nil {
		f.close(id, peer)
	}
	incarnation := f.members[peer].incarnation
	f.members[id].links[peer] = &fleetLink{incarnation: incarnation, lastHeard: f.now}
	f.step(id, PeerUp{Instance: peer, Incarnation: incarnation})
}

func (f *storeFleet) close(id, peer fleet.InstanceID) {
	l := f.members[id].links[peer]
	delete(f.members[id].links, peer)
	f.step(id, PeerDown{Instance: peer, Incarnation: l.incarnation})
}

// deliver passes on the messages of the last step. Those on an interrupted path wait until it works again or
// the link closes.
func (f *storeFleet) deliver() {
	arriving := f.pending
	f.pending = nil
	for _, m := range arriving {
		from, to := f.members[m.from], f.members[m.to]
		l := to.links[m.from]
		if to.incarnation != m.toIncarnation || l == nil || l.incarnation != m.fromIncarnation || from.incarnation != m.fromIncarnation {
			continue
		}
		if !f.connected(m.from, m.to) || to.frozen {
			f.pending = append(f.pending, m)
			continue
		}
		f.received[m.to] += m.size
		f.step(m.to, PeerMessage{From: m.from, Incarnation: m.fromIncarnation, Message: m.message})
	}
}

func (f *storeFleet) step(id fleet.InstanceID, ev Event) {
	m := f.members[id]
	m.s.now = f.now
	for _, e := range m.s.r.Step(f.now, ev) {
		switch e := e.(type) {
		case SendMessage:
			f.send(id, []fleet.InstanceID{e.To}, e.Message)
		case SendToMany:
			f.send(id, e.To, e.Message)
		case WatchStore:
			if m.reader.on != e.On {
				m.reader.listed, m.reader.calling = false, false
			}
			m.reader.on, m.reader.interval, m.reader.retryInterval = e.On, e.MinInterval, e.RetryInterval
		case ListKeys:
			m.reader.listed, m.reader.calling = false, false
		case ConfigInForce:
			m.known, m.knownAt = e.Table.Version, f.now
		default:
			if f.engineVersion != "" {
				f.keepOrigins(id, m, e)
			}
		}
	}
}

func (f *storeFleet) send(from fleet.InstanceID, to []fleet.InstanceID, message wire.Message) {
	data, err := wire.Append(nil, message)
	require.NoError(f.t, err)
	for _, id := range to {
		if l := f.members[from].links[id]; l != nil {
			f.pending = append(f.pending, fleetMessage{from, id, f.members[from].incarnation, l.incarnation, message, len(data)})
		}
	}
}

// read advances the reading of the store by an instance.
func (f *storeFleet) read(id fleet.InstanceID, m *fleetMember) {
	r := &m.reader
	if !r.on || f.now < r.nextCall {
		return
	}
	reachable := !f.store.away && !m.noStore && !f.store.refuses
	switch {
	case !r.calling:
		r.calling, r.startedAt = true, f.now
		f.store.calls++
	case !reachable:
		if f.store.refuses || f.now-r.startedAt >= fleetCallTimeout {
			r.calling, r.nextCall = false, f.now+max(fleetRetryPause, r.retryInterval)
			f.step(id, StoreLost{Err: errors.New("no answer")})
		}
	case !r.listed:
		r.calling, r.listed, r.revision = false, true, f.store.revision
		if !r.listedOnce {
			r.listedOnce, r.nextCall = true, f.now+fleetStartPause
		}
		f.step(id, KeysListed{Facts: f.store.list(), AtRevision: r.revision})
	default:
		facts := f.store.after(r.revision)
		if len(facts) == 0 && f.now-r.startedAt < WatchWait {
			return
		}
		r.calling, r.revision, r.nextCall = false, f.store.revision, r.startedAt+r.interval
		f.step(id, KeysChanged{Facts: facts, AtRevision: r.revision})
	}
}
