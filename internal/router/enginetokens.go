package router

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
)

const (
	// askTimeout is how long a request waits for the owner of an engine's rate limit. Messages take a few
	// milliseconds.
	askTimeout = 50 * time.Millisecond
	// ownerPause is how long an owner that did not answer is not asked for an engine again.
	ownerPause = 500 * time.Millisecond
	// maxAsks is the number of engines for which owners are asked before a request goes to an engine that
	// needs no admission.
	maxAsks = 2
)

// tokenState holds the requests that wait for the owner of an engine's rate limit.
type tokenState struct {
	lastID  uint64
	pending map[uint64]pendingToken
}

type pendingToken struct {
	call    *call
	choice  placement.Choice
	askedAt time.Duration
	// stalledAt is the engine whose attempt runs until the owner admits the request, or empty without one.
	stalledAt fleet.EngineID
}

func (s *tokenState) init() { s.pending = make(map[uint64]pendingToken) }

// askToken asks the owner of an engine's rate limit whether a request may be sent to the engine. The attempt at
// stalledAt, if there is one, goes on meanwhile.
func (r *Router) askToken(c *call, choice placement.Choice, stalledAt fleet.EngineID) {
	c.asks++
	r.tokens.lastID++
	r.tokens.pending[r.tokens.lastID] = pendingToken{c, choice, r.now, stalledAt}
	r.emit(SendMessage{To: choice.Owner, Message: &wire.EngineTokenRequest{
		ID: r.tokens.lastID, Engine: choice.Engine.ID, Key: uint64(c.Prompt), FirstChoice: choice.IsFirst,
	}})
}

// tokenRequested decides, as the owner of an engine's rate limit, whether a peer may send it a request.
func (r *Router) tokenRequested(from fleet.InstanceID, m *wire.EngineTokenRequest) {
	reply := &wire.EngineTokenReply{ID: m.ID}
	engine, _ := r.registry.Get(m.Engine)
	if pool := r.pools[engine.Service]; pool != nil {
		admitted, retryAfter := pool.engines.Admit(r.now, m.Engine, m.Key, m.FirstChoice)
		reply.Admitted, reply.RetryAfterMs = admitted, uint32(retryAfter.Milliseconds())
	}
	r.emit(SendMessage{To: from, Message: reply})
}

func (r *Router) tokenReplied(m *wire.EngineTokenReply) {
	p, ok := r.tokens.pending[m.ID]
	if !ok {
		return
	}
	delete(r.tokens.pending, m.ID)
	r.tokenDecided(p, m.Admitted, milliseconds(m.RetryAfterMs))
}

// tokenDecided sends an admitted request and places a denied one again.
func (r *Router) tokenDecided(p pendingToken, admitted bool, retryAfter time.Duration) {
	pool := r.pools[p.call.service]
	if pool != nil && retryAfter > 0 {
		pool.engines.Denied(r.now, p.choice.Engine.ID, retryAfter)
	}
	switch {
	case r.calls[p.call.ID] != p.call:
		// The caller has left.
	case p.stalledAt != "":
		r.stalledTokenDecided(p, pool, admitted)
	case admitted && pool != nil && pool.engines.Accepts(r.now, p.choice.Engine.ID) && r.endsInTime(p.call):
		r.send(p.call, pool, p.choice)
	default:
		p.call.deniedEngines = append(p.call.deniedEngines, p.choice.Engine.ID)
		r.place(p.call)
	}
}

// tickTokens places the requests again whose owner has not answered in time, in the order in which they asked.
func (r *Router) tickTokens() {
	for _, id := range slices.Sorted(maps.Keys(r.tokens.pending)) {
		p := r.tokens.pending[id]
		if r.now-p.askedAt >= askTimeout || r.drainOver() {
			delete(r.tokens.pending, id)
			r.tokenDecided(p, false, ownerPause)
		}
	}
}
