package harness

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/platform"
)

const (
	// linkSilence is the time without messages after which the link manager closes a link.
	linkSilence = 3 * time.Second
	// callTimeout is the time-out of the daemon for calls to the platform.
	callTimeout = time.Second
)

// Store is a fake of the platform: the key-value service, leases and the instance list.
type Store struct {
	// Down makes every call to the key-value service and to leases fail. The instance list is
	// served all the same.
	Down bool
	// ExtraDelay is added to the duration of every call except those for the instance list.
	ExtraDelay time.Duration
	// LoseWriteReplies is the number of writes, from the next one on, that take effect but
	// whose answer is lost.
	LoseWriteReplies int
	// ListLag is the age of the served instance list.
	ListLag time.Duration
	// Hidden holds, for each instance that reads the list, the instances left out of its answers.
	Hidden map[fleet.InstanceID]map[fleet.InstanceID]bool
	// Calls counts calls by kind: get, put, watch, lease, list.
	Calls map[string]int

	h           *Harness
	entries     map[string]platform.Entry
	leases      map[string]*leaseState
	watches     []watch
	listed      map[fleet.InstanceID]platform.Instance
	listHistory []listSnapshot
}

// leaseState is the last grant of a lease, which may have expired.
type leaseState struct {
	holder    string
	fence     uint64
	expiresAt time.Duration
}

// watch is a StoreWatch that has not been answered. It is answered once the key's revision
// differs from revision.
type watch struct {
	node     *Node
	op       uint64
	key      string
	revision uint64
}

// listSnapshot is the instance list as of a virtual time.
type listSnapshot struct {
	at   time.Duration
	rows []platform.Instance
}

func newStore(h *Harness) *Store {
	return &Store{
		Calls:   make(map[string]int),
		h:       h,
		entries: make(map[string]platform.Entry),
		leases:  make(map[string]*leaseState),
		listed:  make(map[fleet.InstanceID]platform.Instance),
	}
}

// callDelay returns the random duration of one call.
func (s *Store) callDelay() time.Duration {
	base := s.h.Config.StoreLatency + s.ExtraDelay
	return base + time.Duration(s.h.Rand.Int64N(int64(s.h.Config.StoreLatency)))
}

// call counts a call to the key-value service and schedules its execution and answer. The
// caller gets ErrUnknown after callTimeout when the answer is lost or takes longer.
func (s *Store) call(n *Node, kind string, op uint64, act func() (platform.Entry, error)) {
	s.Calls[kind]++
	if s.Down {
		n.stepAfter(s.h.Config.StoreLatency, core.StoreReply{Op: op, Err: platform.ErrUnavailable})
		return
	}
	d := s.callDelay()
	incarnation := n.incarnation
	// The operation takes effect after half of the delay, also when the caller has stopped waiting.
	s.h.After(d/2, func() {
		entry, err := act()
		lost := kind == "put" && err == nil && s.LoseWriteReplies > 0
		if lost {
			s.LoseWriteReplies--
		}
		if lost || d > callTimeout {
			s.h.After(callTimeout-min(d/2, callTimeout), func() {
				n.stepIncarnation(incarnation, core.StoreReply{Op: op, Err: platform.ErrUnknown})
			})
			return
		}
		s.h.After(d/2, func() { n.stepIncarnation(incarnation, core.StoreReply{Op: op, Entry: entry, Err: err}) })
	})
}

func (s *Store) get(n *Node, e core.StoreGet) {
	s.call(n, "get", e.Op, func() (platform.Entry, error) {
		entry, ok := s.entries[e.Key]
		if !ok {
			return entry, platform.ErrNotFound
		}
		return entry, nil
	})
}

func (s *Store) swap(n *Node, e core.StoreSwap) {
	s.call(n, "put", e.Op, func() (platform.Entry, error) {
		revision, err := s.Put(e.Key, e.Value, e.Expect)
		return platform.Entry{Revision: revision}, err
	})
}

// Put writes a key by compare-and-swap without delay: the key's revision must equal expect,
// which is 0 for a key that does not exist.
func (s *Store) Put(key string, value []byte, expect uint64) (uint64, error) {
	entry := s.entries[key]
	if entry.Revision != expect {
		return 0, platform.ErrConflict
	}
	entry = platform.Entry{Value: value, Revision: entry.Revision + 1}
	s.entries[key] = entry
	s.answerWatches(key)
	return entry.Revision, nil
}

// Entry returns a key's entry without delay.
func (s *Store) Entry(key string) platform.Entry { return s.entries[key] }

// watch answers when the key's revision differs from e.After, or after e.Wait.
func (s *Store) watch(n *Node, e core.StoreWatch) {
	s.Calls["watch"]++
	if s.Down {
		n.stepAfter(s.h.Config.StoreLatency, core.StoreReply{Op: e.Op, Err: platform.ErrUnavailable})
		return
	}
	w := watch{node: n, op: e.Op, key: e.Key, revision: e.After}
	s.watches = append(s.watches, w)
	incarnation := n.incarnation
	s.h.After(e.Wait, func() {
		if s.removeWatch(w) {
			n.stepIncarnation(incarnation, core.StoreReply{Op: w.op, Entry: s.entries[w.key]})
		}
	})
	s.answerWatches(e.Key)
}

// Watchers returns the nodes whose watch of a key waits.
func (s *Store) Watchers(key string) []*Node {
	var nodes []*Node
	for _, w := range s.watches {
		if w.key == key {
			nodes = append(nodes, w.node)
		}
	}
	return nodes
}

// removeWatch removes a waiting watch and reports whether it was still waiting.
func (s *Store) removeWatch(w watch) bool {
	for i, other := range s.watches {
		if other == w {
			s.watches = append(s.watches[:i:i], s.watches[i+1:]...)
			return true
		}
	}
	return false
}

// answerWatches answers the watches of a key whose revision has changed.
func (s *Store) answerWatches(key string) {
	for _, w := range append([]watch(nil), s.watches...) {
		entry := s.entries[key]
		if w.key == key && entry.Revision != w.revision && s.removeWatch(w) {
			w.node.stepAfter(s.callDelay(), core.StoreReply{Op: w.op, Entry: entry})
		}
	}
}

// SetDown starts or ends an outage of the key-value service and leases. Waiting watches fail
// when it starts.
func (s *Store) SetDown(down bool) {
	s.Down = down
	if !down {
		return
	}
	for _, w := range s.watches {
		w.node.stepAfter(s.h.Config.StoreLatency, core.StoreReply{Op: w.op, Err: platform.ErrUnavailable})
	}
	s.watches = nil
}

// acquire grants or renews a lease. The fencing number rises with each grant of a lease that
// had expired.
func (s *Store) acquire(n *Node, e core.LeaseAcquire) {
	s.Calls["lease"]++
	if s.Down {
		n.stepAfter(s.h.Config.StoreLatency, core.LeaseReply{Op: e.Op, Err: platform.ErrUnavailable})
		return
	}
	holder := e.Holder
	lease := s.leases[e.Name]
	if lease == nil {
		lease = &leaseState{}
		s.leases[e.Name] = lease
	}
	expired := s.h.Now() >= lease.expiresAt
	if !expired && lease.holder != holder {
		n.stepAfter(s.callDelay(), core.LeaseReply{Op: e.Op, Err: platform.ErrConflict})
		return
	}
	if expired {
		lease.fence++
	}
	lease.holder = holder
	lease.expiresAt = s.h.Now() + e.TTL
	n.stepAfter(s.callDelay(), core.LeaseReply{Op: e.Op, Lease: platform.Lease{
		Name: e.Name, Holder: holder, Fence: lease.fence, TTL: e.TTL,
	}})
}

func (s *Store) release(n *Node, e core.LeaseRelease) {
	s.Calls["lease"]++
	reply := core.LeaseReply{Op: e.Op}
	lease := s.leases[e.Name]
	switch {
	case s.Down:
		reply.Err = platform.ErrUnavailable
	case lease == nil || lease.fence != e.Fence || lease.holder != e.Holder:
		reply.Err = platform.ErrConflict
	default:
		lease.expiresAt = s.h.Now()
	}
	n.stepAfter(s.callDelay(), reply)
}

// ExpireLeases makes every lease expire now, without notifying its holder.
func (s *Store) ExpireLeases() {
	for _, lease := range s.leases {
		lease.expiresAt = s.h.Now()
	}
}

// SetListed adds, updates or removes an instance in the instance list. Instances see the
// change after ListLag.
func (s *Store) SetListed(n *Node, present, leaving bool) {
	if present {
		row := n.listRow()
		row.Leaving = leaving
		s.listed[n.ID] = row
	} else {
		delete(s.listed, n.ID)
	}
	var rows []platform.Instance
	for _, node := range s.h.Nodes {
		if row, ok := s.listed[node.ID]; ok {
			rows = append(rows, row)
		}
	}
	s.listHistory = append(s.listHistory, listSnapshot{at: s.h.Now(), rows: rows})
}

// list returns the instance list as it was ListLag ago, without the instances hidden from n.
// It does not depend on the key-value service and so answers also while Down is set.
func (s *Store) list(n *Node) ([]platform.Instance, error) {
	s.Calls["list"]++
	rows := s.listHistory[0].rows
	for _, snapshot := range s.listHistory {
		if snapshot.at <= s.h.Now()-s.ListLag {
			rows = snapshot.rows
		}
	}
	var visible []platform.Instance
	for _, row := range rows {
		if !s.Hidden[n.ID][row.ID] {
			visible = append(visible, row)
		}
	}
	return visible, nil
}
