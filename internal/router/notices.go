package router

import (
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/notice"
	"github.com/bilberrywell/bilberrywell/registry"
)

// recordNotices records what an engine announces in the header of a response.
func (r *Router) recordNotices(c *call, report *EngineReport) {
	if report.UnusableValue != "" {
		r.logDecision(c, "engine_header_rejected", "engine", c.engine, "value", report.UnusableValue)
	}
	if report.Leaving && r.notices.ObserveLeaving(r.now, c.engineRun) {
		r.engineLeaves(c.engineRun, "response")
	}
	if report.QuietFor > 0 {
		until := r.notices.ObserveQuiet(r.now, c.engineRun, report.QuietFor, r.rng.Float64())
		if engine, pool := r.registeredRun(c.engineRun); pool != nil {
			pool.engines.SetQuiet(engine.ID, until)
		}
		r.logDecision(c, "engine_quiet", "engine", c.engine, "named_ms", report.QuietFor.Milliseconds(), "until_ms", (until - r.now).Milliseconds())
	}
}

// registeredRun returns the engine whose registered process is run, and its pool, which is nil if the process is
// not registered any more.
func (r *Router) registeredRun(run notice.Run) (registry.Engine, *servicePool) {
	engine, ok := r.registry.Get(run.Engine)
	if !ok || runOf(engine) != run {
		return engine, nil
	}
	return engine, r.pools[engine.Service]
}

// engineLeaves stops new requests to an engine that has said that it leaves.
func (r *Router) engineLeaves(run notice.Run, source string) {
	r.emit(Decision{Kind: "engine_leaving", Fields: []any{"engine", run.Engine, "incarnation", run.Incarnation, "source", source}})
	engine, pool := r.registeredRun(run)
	if pool == nil {
		return
	}
	pool.engines.SetDraining(r.now, engine.ID)
	r.emit(DropIdleConns{Addr: engine.Addr})
}

// tickNotices drops the notices whose time is over.
func (r *Router) tickNotices() {
	if r.notices.Expire(r.now) {
		r.rebuildPools()
	}
}

func (r *Router) departuresReceived(from fleet.InstanceID, list []wire.LeavingEngine) {
	for _, l := range list {
		run := notice.Run{Engine: l.Engine, Incarnation: l.Incarnation}
		if r.notices.MergeLeaving(r.now, notice.Departure{Run: run, Age: milliseconds(l.AgeMs)}) {
			r.engineLeaves(run, string(from))
		}
	}
}

func wireDepartures(list []notice.Departure) []wire.LeavingEngine {
	var message []wire.LeavingEngine
	for _, d := range list {
		message = append(message, wire.LeavingEngine{Engine: d.Engine, Incarnation: d.Incarnation, AgeMs: uint32(d.Age.Milliseconds())})
	}
	return message
}

// runOf identifies the process of a registered engine.
func runOf(e registry.Engine) notice.Run {
	return notice.Run{Engine: e.ID, Incarnation: uint64(e.StartedAtMillis)}
}
