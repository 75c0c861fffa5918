// Package egress decides by which path an instance opens a connection to an engine: its own, or through a peer.
//
// Load pattern: instances lose the paths to all engines for seconds, while callers, the store and their peers still
// reach them. A connection that can't be opened directly is opened through a peer that reaches the engine. Once
// several engines in a row were reached only that way, the instance counts as cut off: it uses peers at once, and
// checks its own path from time to time. An engine that peers don't reach either is at fault itself, so that engines
// that crash never make an instance cut off.
package egress

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

const (
	// hedgeDelay is how long a direct dial may take before a peer is asked as well. A round trip takes a few
	// milliseconds.
	hedgeDelay = 60 * time.Millisecond
	// peerDelay is the time between peers that are asked for one connection.
	peerDelay = 30 * time.Millisecond
	// maxPeers bounds the peers that are asked for one connection.
	maxPeers = 3
	// provenPeers is the number of peers that have helped below which one dial in searchInterval asks another one
	// first. It also spreads the connections.
	provenPeers    = 8
	searchInterval = 4
	// peerRest is how long a peer that did not help is asked only if no other is left.
	peerRest = time.Second
	// cutOffFailures is the number of direct dials in a row that must fail, and cutOffEngines that of the engines
	// that were then reached through a peer, before the instance counts as cut off. A link that loses a fifth of its
	// packets fails four dials in a row once in 600.
	cutOffFailures = 4
	cutOffEngines  = 2
	// doubtFailures is the number of direct dials in a row after which a failed dial says nothing about its engine.
	doubtFailures = 2
	// checkInterval is the time between checks of the direct path of an instance that is cut off, and checksPassed
	// the number that must succeed in a row.
	checkInterval = 250 * time.Millisecond
	checksPassed  = 2
	// detourMemory is how long connections to an engine that only a peer has reached go through peers at once.
	detourMemory = time.Second
	// verdictMemory is how long a peer's word that an engine is unreachable counts.
	verdictMemory = time.Second
	// maxEngines bounds the engines that are remembered.
	maxEngines = 64
)

// Peer is an instance that may open connections for this one.
type Peer struct {
	ID   fleet.InstanceID
	Addr string
}

// Step is one way to open a connection: directly if Peer is empty. It begins After the start of the dial, or as soon
// as all steps before it have failed.
type Step struct {
	Peer  Peer
	After time.Duration
}

// Direct reports whether the step uses no peer.
func (s Step) Direct() bool { return s.Peer == Peer{} }

// Result is how a step ended.
type Result uint8

// Results of a step.
const (
	// Connected: the connection is open.
	Connected Result = iota + 1
	// Unreachable: the engine could not be reached, by this instance or by the peer.
	Unreachable
	// NoHelp: the peer did not try to reach the engine, or did not answer.
	NoHelp
	// Declined: the peer knows no engine with the address that takes requests.
	Declined
)

// Selector chooses paths. It is not safe for concurrent use.
type Selector struct {
	rng   *rand.Rand
	peers map[fleet.InstanceID]*peerState
	// failures counts the direct dials that have failed since the last one that succeeded. detoured holds the
	// engines that were reached through a peer since then, after their direct dial had failed.
	failures int
	detoured map[string]bool
	// failedAt is when the last direct dial to an engine failed, and detourUntil the time until which its connections
	// go through peers at once.
	failedAt    map[string]time.Duration
	detourUntil map[string]time.Duration
	// verdictAt is when a peer last said that an engine is unreachable.
	verdictAt map[string]time.Duration

	cutOff    bool
	nextCheck time.Duration
	passed    int
}

type peerState struct {
	peer Peer
	// helped reports whether the peer reached an engine, or said that it can't be reached, when it was last asked.
	helped    bool
	restUntil time.Duration
}

// New returns a selector without peers. It draws peers with rng.
func New(rng *rand.Rand) *Selector {
	return &Selector{
		rng: rng, peers: make(map[fleet.InstanceID]*peerState), detoured: make(map[string]bool),
		failedAt: make(map[string]time.Duration), detourUntil: make(map[string]time.Duration), verdictAt: make(map[string]time.Duration),
	}
}

// PeerUp adds a peer.
func (s *Selector) PeerUp(p Peer) { s.peers[p.ID] = &peerState{peer: p} }

// PeerDown removes a peer.
func (s *Selector) PeerDown(id fleet.InstanceID) { delete(s.peers, id) }

// CutOff reports whether the instance reaches engines only through peers.
func (s *Selector) CutOff() bool { return s.cutOff }

// Doubtful reports whether several direct dials in a row have failed. A failed dial then says nothing about its engine.
func (s *Selector) Doubtful() bool { return s.cutOff || s.failures >= doubtFailures }

// Blames reports whether a failed dial to an engine counts against the engine: unless the instance is cut off, or if a
// peer did not reach the engine either.
func (s *Selector) Blames(now time.Duration, engine string) bool {
	at, known := s.verdictAt[engine]
	return !s.cutOff || known && now-at < verdictMemory
}

// Plan returns the steps to open a connection to an engine, in order. It is never empty.
func (s *Selector) Plan(now time.Duration, engine string) []Step {
	peers := s.choosePeers(now)
	until, detoured := s.detourUntil[engine]
	direct := !(s.cutOff || detoured && now < until) || len(peers) == 0
	var steps []Step
	after := time.Duration(0)
	if direct {
		steps = append(steps, Step{})
		after = hedgeDelay
	}
	for _, p := range peers {
		steps = append(steps, Step{Peer: p, After: after})
		after += peerDelay
	}
	return steps
}

// choosePeers returns up to maxPeers peers: at random those that have helped, then others, then those that rest. While
// few have helped, some dials ask another one first: in a large fleet of which most instances are cut off, peers drawn
// among all would mostly be useless.
func (s *Selector) choosePeers(now time.Duration) []Peer {
	var proven, others, resting []Peer
	for _, p := range s.peers {
		switch {
		case now < p.restUntil:
			resting = append(resting, p.peer)
		case p.helped:
			proven = append(proven, p.peer)
		default:
			others = append(others, p.peer)
		}
	}
	for _, list := range [][]Peer{proven, others, resting} {
		// Sorted first, because the order of a map differs between runs with one seed.
		slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
		s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	if len(proven) < provenPeers && len(others) > 0 && s.rng.IntN(searchInterval) == 0 {
		proven, others = append([]Peer{others[0]}, proven...), others[1:]
	}
	all := slices.Concat(proven, others, resting)
	return all[:min(len(all), maxPeers)]
}

// Ended records how a step of a dial ended. It returns whether CutOff has changed.
func (s *Selector) Ended(now time.Duration, engine string, step Step, r Result) bool {
	before := s.cutOff
	switch {
	case step.Direct() && r == Connected:
		s.directWorked(engine)
	case step.Direct():
		s.directFailed(now, engine)
	case r == Connected:
		s.peerConnected(now, engine)
	case r == Unreachable:
		remember(s.verdictAt, engine, now, now-verdictMemory)
	}
	if p := s.peers[step.Peer.ID]; p != nil && r != Declined {
		if p.helped = r != NoHelp; !p.helped {
			p.restUntil = now + peerRest
		}
	}
	return s.cutOff != before
}

func (s *Selector) directWorked(engine string) {
	delete(s.failedAt, engine)
	delete(s.detourUntil, engine)
	if s.passed++; s.cutOff && s.passed < checksPassed {
		return
	}
	s.cutOff, s.failures = false, 0
	clear(s.detoured)
	clear(s.detourUntil)
}

func (s *Selector) directFailed(now time.Duration, engine string) {
	s.failures++
	s.passed = 0
	remember(s.failedAt, engine, now, now-detourMemory)
}

// peerConnected records that a peer has reached an engine. It tells of this instance's own path if that has failed for
// the same engine just before.
func (s *Selector) peerConnected(now time.Duration, engine string) {
	delete(s.verdictAt, engine)
	at, failed := s.failedAt[engine]
	if !failed || now-at >= detourMemory {
		return
	}
	remember(s.detourUntil, engine, at+detourMemory, now)
	if len(s.detoured) < maxEngines {
		s.detoured[engine] = true
	}
	if !s.cutOff && s.failures >= cutOffFailures && len(s.detoured) >= cutOffEngines {
		s.cutOff, s.passed, s.nextCheck = true, 0, now+checkInterval
	}
}

// CheckDue reports whether a direct dial is to check the instance's own path now, and plans the next one.
func (s *Selector) CheckDue(now time.Duration) bool {
	if !s.cutOff || now < s.nextCheck {
		return false
	}
	s.nextCheck = now + checkInterval
	return true
}

// remember sets the time of an engine. It drops times before oldest when the map is full, and does nothing if that
// leaves no room.
func remember(m map[string]time.Duration, engine string, at, oldest time.Duration) {
	if _, known := m[engine]; !known && len(m) >= maxEngines {
		for key, t := range m {
			if t < oldest {
				delete(m, key)
			}
		}
		if len(m) >= maxEngines {
			return
		}
	}
	m[engine] = at
}
