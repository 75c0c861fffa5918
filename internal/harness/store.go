package harness

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/platform"
)

const (
	// linkSilence is the silence after which the link manager closes a link.
	linkSilence = 3 * time.Second
	// callTimeout is the time after which the shell gives up on a call to the platform.
	callTimeout = time.Second
)

// Store is the fake of the platform: key-value service, leases and instance list.
type Store struct {
	// Down refuses every call to the key-value service.
	Down bool
	// Slow delays every answer.
	Slow time.Duration
	// LoseWrites is the number of next writes that take effect without an answer.
	LoseWrites int
	// ListLag is the age of the served instance list.
	ListLag time.Duration
	// Hidden lists, by viewer, the instances that are left out of the served list.
	Hidden map[fleet.InstanceID]map[fleet.InstanceID]bool
	// Calls counts calls by kind: get, put, watch, lease, list.
	Calls map[string]int

	h        *Harness
	entries  map[string]platform.Entry
	leases   map[string]*heldLease
	watches  []watch
	listed   map[fleet.InstanceID]platform.Instance
	versions []listVersion
}

type heldLease struct {
	holder string
	fence  uint64
	until  time.Duration
}

type watch struct {
	node *Node
	op   uint64
	key  string
	at   uint64
}

type listVersion struct {
	at   time.Duration
	rows []platform.Instance
}

func newStore(h *Harness) *Store {
	return &Store{
		Calls:   make(map[string]int),
		h:       h,
		entries: make(map[string]platform.Entry),
		leases:  make(map[string]*heldLease),
		listed:  make(map[fleet.InstanceID]platform.Instance),
	}
}

// delay is the time of one call.
func (s *Store) delay() time.Duration {
	base := s.h.Config.StoreLatency + s.Slow
	return base + time.Duration(s.h.Rand.Int64N(int64(s.h.Config.StoreLatency)))
}

// call counts a call and schedules its answer. An answer after the shell's timeout is unknown.
func (s *Store) call(n *Node, kind string, op uint64, act func() (platform.Entry, error)) {
	s.Calls[kind]++
	if s.Down {
		n.reply(s.h.Config.StoreLatency, core.StoreReply{Op: op, Err: platform.ErrUnavailable})
		return
	}
	d := s.delay()
	incarnation := n.incarnation
	// The effect takes place half way, whether or not the caller still waits.
	s.h.After(d/2, func() {
		entry, err := act()
		lost := kind == "put" && err == nil && s.LoseWrites > 0
		if lost {
			s.LoseWrites--
		}
		if lost || d > callTimeout {
			s.h.After(callTimeout-min(d/2, callTimeout), func() {
				n.stepAs(incarnation, core.StoreReply{Op: op, Err: platform.ErrUnknown})
			})
			return
		}
		s.h.After(d/2, func() { n.stepAs(incarnation, core.StoreReply{Op: op, Entry: entry, Err: err}) })
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

// Put writes a key by compare-and-swap at once.
func (s *Store) Put(key string, value []byte, expect uint64) (uint64, error) {
	entry := s.entries[key]
	if entry.Revision != expect {
		return 0, platform.ErrConflict
	}
	entry = platform.Entry{Value: value, Revision: entry.Revision + 1}
	s.entries[key] = entry
	s.wake(key)
	return entry.Revision, nil
}

// Entry returns a key's entry at once.
func (s *Store) Entry(key string) platform.Entry { return s.entries[key] }

func (s *Store) watch(n *Node, e core.StoreWatch) {
	s.Calls["watch"]++
	if s.Down {
		n.reply(s.h.Config.StoreLatency, core.StoreReply{Op: e.Op, Err: platform.ErrUnavailable})
		return
	}
	w := watch{node: n, op: e.Op, key: e.Key, at: e.After}
	s.watches = append(s.watches, w)
	incarnation := n.incarnation
	s.h.After(e.Wait, func() {
		if s.remove(w) {
			n.stepAs(incarnation, core.StoreReply{Op: w.op, Entry: s.entries[w.key]})
		}
	})
	s.wake(e.Key)
}

func (s *Store) remove(w watch) bool {
	for i, other := range s.watches {
		if other == w {
			s.watches = append(s.watches[:i:i], s.watches[i+1:]...)
			return true
		}
	}
	return false
}

// wake answers the watches of a key that has changed.
func (s *Store) wake(key string) {
	for _, w := range append([]watch(nil), s.watches...) {
		entry := s.entries[key]
		if w.key == key && entry.Revision != w.at && s.remove(w) {
			w.node.reply(s.delay(), core.StoreReply{Op: w.op, Entry: entry})
		}
	}
}

// SetDown starts or ends an outage. Waiting watches fail at its start.
func (s *Store) SetDown(down bool) {
	s.Down = down
	if !down {
		return
	}
	for _, w := range s.watches {
		w.node.reply(s.h.Config.StoreLatency, core.StoreReply{Op: w.op, Err: platform.ErrUnavailable})
	}
	s.watches = nil
}

func (s *Store) acquire(n *Node, e core.LeaseAcquire) {
	s.Calls["lease"]++
	if s.Down {
		n.reply(s.h.Config.StoreLatency, core.LeaseReply{Op: e.Op, Err: platform.ErrUnavailable})
		return
	}
	holder := e.Holder
	held := s.leases[e.Name]
	if held == nil {
		held = &heldLease{}
		s.leases[e.Name] = held
	}
	lapsed := s.h.now >= held.until
	if !lapsed && held.holder != holder {
		n.reply(s.delay(), core.LeaseReply{Op: e.Op, Err: platform.ErrConflict})
		return
	}
	if lapsed {
		held.fence++
	}
	held.holder = holder
	held.until = s.h.now + e.TTL
	n.reply(s.delay(), core.LeaseReply{Op: e.Op, Lease: platform.Lease{
		Name: e.Name, Holder: holder, Fence: held.fence, TTL: e.TTL,
	}})
}

func (s *Store) release(n *Node, e core.LeaseRelease) {
	s.Calls["lease"]++
	reply := core.LeaseReply{Op: e.Op}
	held := s.leases[e.Name]
	switch {
	case s.Down:
		reply.Err = platform.ErrUnavailable
	case held == nil || held.fence != e.Fence || held.holder != e.Holder:
		reply.Err = platform.ErrConflict
	default:
		held.until = s.h.now
	}
	n.reply(s.delay(), reply)
}

// LapseLeases ends every lease at once without telling its holder.
func (s *Store) LapseLeases() {
	for _, held := range s.leases {
		held.until = s.h.now
	}
}

// SetListed changes an instance's row in the true list.
func (s *Store) SetListed(n *Node, present, leaving bool) {
	if present {
		row := n.row()
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
	s.versions = append(s.versions, listVersion{at: s.h.now, rows: rows})
}

// list returns the list as of the lag ago. It is served apart from the key-value service.
func (s *Store) list(n *Node) ([]platform.Instance, error) {
	s.Calls["list"]++
	rows := s.versions[0].rows
	for _, v := range s.versions {
		if v.at <= s.h.now-s.ListLag {
			rows = v.rows
		}
	}
	var seen []platform.Instance
	for _, row := range rows {
		if !s.Hidden[n.ID][row.ID] {
			seen = append(seen, row)
		}
	}
	return seen, nil
}
