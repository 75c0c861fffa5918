package router

import (
	"slices"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/placement"
	"github.com/bilberrywell/bilberrywell/registry"
	"github.com/bilberrywell/bilberrywell/replica"
	"github.com/bilberrywell/bilberrywell/warmup"
)

const (
	// handoverTime is how long an instance waits before it uses a share of a cold engine that it has because the fleet
	// has changed: the instance that had the share before may not know yet. Changes reach all instances within 2.5 s.
	handoverTime = 2500 * time.Millisecond
	// viewLifetime is how long an instance that may be cut off uses its shares. Others replace it when its entry in the
	// store is gone, 30 s after it was last renewed; it is renewed every 10 s.
	viewLifetime = 15 * time.Second
	// viewInterval is the least time between two computations of the instances that serve cold engines.
	viewInterval = 250 * time.Millisecond
	// minWarmUpRetry and maxWarmUpRetry bound the Retry-After of requests for which there are only cold engines that this
	// instance does not serve. minWarmUpRetry is also the least time over which callers return.
	minWarmUpRetry = 300 * time.Millisecond
	maxWarmUpRetry = time.Second
)

// warmUpState holds which engines are cold and what this instance may send to them.
type warmUpState struct {
	tracker *warmup.Tracker
	// view holds the instances that may serve cold engines, viewChanged when it last changed. viewStale is set when it
	// has to be computed again, which happens at nextView or later.
	view        warmup.View
	viewChanged time.Duration
	viewStale   bool
	nextView    time.Duration
	// viewTrusted is whether this instance's view can't differ for long from that of others.
	viewTrusted bool
	// known is whether this instance is in the view of others, by its entry in the store or a link, and knownSince
	// when all others know.
	known      bool
	knownSince time.Duration
	shares     map[fleet.EngineID]*warmUpShare
}

// warmUpShare is this instance's share of what a cold engine tolerates.
type warmUpShare struct {
	// rate is in requests a second, 0 if the instance does not serve the engine. phase is that of placement.WarmUp.
	rate, phase float64
	// from is when the rate may be used first.
	from time.Duration
	// raiseTo is the rate from raiseAt on; 0 if it does not rise.
	raiseTo float64
	raiseAt time.Duration
}

func (s *warmUpState) init() {
	s.tracker = warmup.NewTracker()
	s.shares = make(map[fleet.EngineID]*warmUpShare)
	s.viewStale = true
}

func (s *warmUpState) forget(id fleet.EngineID) {
	s.tracker.Forget(id)
	delete(s.shares, id)
}

// warmUpRate returns the number of requests a second that cold engines of a service tolerate, 0 if they are never cold.
func (r *Router) warmUpRate(id fleet.ServiceID) float64 {
	if r.table == nil {
		return 0
	}
	service, _ := r.table.Service(id)
	return service.WarmUpRate
}

// warmUpRegistered records for how long an engine has registered that it stays cold.
func (r *Router) warmUpRegistered(e registry.Engine, revision uint64) {
	r.warmUps.tracker.Registered(r.now, runOf(e), revision, e.ColdFor)
	r.warmUpChanged(e.ID)
}

// warmUpsRewritten looks, in the registrations that were read from the store, for engines that stay cold for longer
// than they had said, or have become cold again. Such a registration does not count as a change, so it is not relayed.
func (r *Router) warmUpsRewritten(facts []replica.Fact) {
	_, prefix := r.cfg.StoreDecoder.Prefixes()
	for _, f := range facts {
		id, registration := strings.CutPrefix(f.Key, prefix)
		if !registration || f.Deleted || !r.warmUps.tracker.MayBeRewritten(r.now, fleet.EngineID(id)) {
			continue
		}
		e, err := r.cfg.StoreDecoder.Engine(f.Key, f.Value)
		if err == nil && r.warmUps.tracker.Rewritten(r.now, runOf(e), f.Revision, e.ColdFor) {
			r.warmUpChanged(e.ID)
			r.broadcastWarmUp(e, e.ColdFor)
		}
	}
}

// recordWarmUp records for how long an engine says in a response that it stays cold.
func (r *Router) recordWarmUp(c *call, report *EngineReport) {
	e, pool := r.registeredRun(c.engineRun)
	if report.ColdFor == nil || pool == nil {
		return
	}
	news := r.warmUps.tracker.Responded(r.now, c.engineRun, *report.ColdFor)
	r.warmUpChanged(c.engine)
	if news && r.warmUpRate(e.Service) > 0 {
		r.broadcastWarmUp(e, *report.ColdFor)
	}
}

func (r *Router) broadcastWarmUp(e registry.Engine, coldFor time.Duration) {
	run := runOf(e)
	r.broadcast(&wire.EngineWarmUps{WarmUps: []wire.EngineWarmUp{
		{Engine: run.Engine, Incarnation: run.Incarnation, RemainingMs: uint32(warmup.Bounded(coldFor).Milliseconds())},
	}})
}

// sendWarmUps tells a peer which engines are cold although their registration may not say so.
func (r *Router) sendWarmUps(to fleet.InstanceID) {
	var m wire.EngineWarmUps
	for _, id := range r.warmUps.tracker.Engines(r.now) {
		e, _ := r.registry.Get(id)
		if w, cold := r.warmUps.tracker.Of(r.now, runOf(e)); cold && w.Source != warmup.Registration && r.warmUpRate(e.Service) > 0 {
			m.WarmUps = append(m.WarmUps, wire.EngineWarmUp{Engine: id, Incarnation: runOf(e).Incarnation, RemainingMs: uint32((w.Until - r.now).Milliseconds())})
		}
	}
	if len(m.WarmUps) > 0 {
		r.emit(SendMessage{To: to, Message: &m})
	}
}

func (r *Router) warmUpsReceived(m *wire.EngineWarmUps) {
	for _, w := range m.WarmUps {
		e, known := r.registry.Get(w.Engine)
		if run := runOf(e); known && run.Incarnation == w.Incarnation {
			r.warmUps.tracker.Told(r.now, run, milliseconds(w.RemainingMs))
			r.warmUpChanged(w.Engine)
		}
	}
}

// warmUpsOfReturned lets the engines of a data centre that was evacuated count as cold: they may have become so without
// requests. What they registered before does not tell.
func (r *Router) warmUpsOfReturned(dc fleet.DataCentre) {
	for _, id := range r.registry.IDs() {
		e, _ := r.registry.Get(id)
		if e.DataCentre != dc || r.warmUpRate(e.Service) <= 0 {
			continue
		}
		service, _ := r.table.Service(e.Service)
		r.warmUps.tracker.Returned(r.now, runOf(e), service.WarmUpTime)
		r.warmUpChanged(id)
	}
}

// warmUpChanged applies what is known of an engine's warm-up.
func (r *Router) warmUpChanged(id fleet.EngineID) {
	e, known := r.registry.Get(id)
	if known && r.warmUpRate(e.Service) > 0 {
		w, _ := r.warmUps.tracker.Of(r.now, runOf(e))
		switch cold, changed := r.warmUps.tracker.Changed(r.now, id); {
		case !changed:
		case cold:
			r.emit(Decision{Kind: "engine_warming", Fields: []any{"engine", id, "until_ms", (w.Until - r.now).Milliseconds(), "source", string(w.Source)}})
		default:
			r.emit(Decision{Kind: "engine_warm", Fields: []any{"engine", id}})
		}
	}
	r.applyWarmUp(id)
}

// applyWarmUps applies the warm-ups of all cold engines.
func (r *Router) applyWarmUps() {
	for _, id := range r.warmUps.tracker.Engines(r.now) {
		r.warmUpChanged(id)
	}
}

// applyWarmUp sets this instance's share of a cold engine.
func (r *Router) applyWarmUp(id fleet.EngineID) {
	e, _ := r.registry.Get(id)
	pool, rate := r.pools[e.Service], r.warmUpRate(e.Service)
	if pool == nil {
		return
	}
	w, cold := r.warmUps.tracker.Of(r.now, runOf(e))
	if !cold || rate <= 0 {
		delete(r.warmUps.shares, id)
		pool.engines.ClearWarmUp(id)
		return
	}
	s := r.updateWarmUpShare(id, rate)
	pool.engines.SetWarmUp(r.now, id, placement.WarmUp{Since: w.Since, Until: w.Until, Rate: s.rate, From: s.from, Phase: s.phase})
}

// updateWarmUpShare computes this instance's share of a cold engine. It falls at once, and rises after handoverTime.
func (r *Router) updateWarmUpShare(id fleet.EngineID, rate float64) *warmUpShare {
	state := &r.warmUps
	wanted, phase := 0.0, 0.0
	n, perInstance := warmup.Share(rate, r.cfg.WarmUpOvershoot, r.cfg.WarmUpSlack, state.view.Len())
	if position, chosen := state.view.Position(id, r.cfg.Instance, n); chosen && state.viewTrusted {
		wanted, phase = perInstance, float64(position)/float64(n)
	}
	s := state.shares[id]
	if s != nil {
		s.from = max(s.from, state.knownSince)
	}
	switch {
	case s == nil:
		s = &warmUpShare{rate: wanted, phase: phase, from: max(r.now, state.viewChanged+handoverTime, state.knownSince)}
		state.shares[id] = s
	case wanted <= s.rate:
		s.rate, s.raiseTo = wanted, 0
	case s.raiseTo < wanted:
		s.raiseTo, s.raiseAt = wanted, r.now+handoverTime
	default:
		s.raiseTo = wanted
	}
	if s.raiseTo > 0 && r.now >= s.raiseAt {
		s.rate, s.phase, s.raiseTo = s.raiseTo, phase, 0
	}
	return s
}

// tickWarmUps ends the warm-ups whose time is over, and computes the shares again when the fleet has changed or a share
// rises.
func (r *Router) tickWarmUps() {
	for _, id := range r.warmUps.tracker.Ended(r.now) {
		r.warmUpChanged(id)
	}
	viewDue := r.warmUps.viewStale && r.now >= r.warmUps.nextView
	if viewDue {
		r.updateWarmUpView()
	}
	if trusted := r.viewIsTrusted(); viewDue || trusted != r.warmUps.viewTrusted {
		r.warmUps.viewTrusted = trusted
		r.applyWarmUps()
		return
	}
	for id, s := range r.warmUps.shares {
		if s.raiseTo > 0 && r.now >= s.raiseAt {
			r.applyWarmUp(id)
		}
	}
}

// updateWarmUpView determines the instances that may serve cold engines: those that are registered or linked, so that two
// parts of the fleet which have lost their links agree.
func (r *Router) updateWarmUpView() {
	r.warmUps.viewStale, r.warmUps.nextView = false, r.now+viewInterval
	ids := append(r.registeredInstances(), r.linkedPeers()...)
	ids = append(ids, r.cfg.Instance)
	slices.Sort(ids)
	ids = slices.Compact(ids)
	if !slices.Equal(ids, r.warmUps.view.IDs()) {
		r.warmUps.view = warmup.NewView(ids)
		r.warmUps.viewChanged = r.now
	}
	_, registered := r.replica.Get(InstancePrefix + string(r.cfg.Instance))
	known := registered || len(r.members.linked) > 0
	if known && !r.warmUps.known {
		r.warmUps.knownSince = r.now + handoverTime
	}
	r.warmUps.known = known
}

// viewIsTrusted reports whether others can't have replaced this instance without its knowledge: it knows the store's
// state of a short time ago, or is linked to all others, of which then none knows a newer one. While others don't know
// this instance, they have not counted it.
func (r *Router) viewIsTrusted() bool {
	if !r.warmUps.known && r.warmUps.view.Len() > 1 {
		return false
	}
	if r.store.currentAt != never && r.now-r.store.currentAt < viewLifetime {
		return true
	}
	return len(r.members.linked)+1 >= r.warmUps.view.Len()
}

// warmUpWait returns the Retry-After of a request for which only cold engines are left, or false if that is not the reason
// why no engine may get it.
func (r *Router) warmUpWait(pool *servicePool, request placement.Request) (time.Duration, bool) {
	wait, served, found := pool.engines.NextWarmUpToken(r.now, request)
	if !found {
		return 0, false
	}
	if !served {
		wait = min(wait, minWarmUpRetry)
		return r.spreadRetry(wait, maxWarmUpRetry-minWarmUpRetry), true
	}
	return r.spreadRetry(wait, max(wait, minWarmUpRetry)), true
}
