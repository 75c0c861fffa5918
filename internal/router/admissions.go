package router

import (
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

// admissionState holds the requests that wait for the owner of an engine's rate limit.
type admissionState struct {
	lastID  uint64
	pending map[uint64]pendingAdmission
}

type pendingAdmission struct {
	call    *call
	choice  placement.Choice
	askedAt time.Duration
}

func (s *admissionState) init() { s.pending = make(map[uint64]pendingAdmission) }

// askAdmission asks the owner of an engine's rate limit whether a request may be sent to the engine.
func (r *Router) askAdmission(c *call, choice placement.Choice) {
	c.asks++
	r.admissions.lastID++
	r.admissions.pending[r.admissions.lastID] = pendingAdmission{c, choice, r.now}
	r.emit(SendMessage{To: choice.Owner, Message: &wire.AdmissionRequest{
		ID: r.admissions.lastID, Engine: choice.Engine.ID, Key: uint64(c.Prompt), FirstChoice: choice.IsFirst,
	}})
}

// admissionRequested decides, as the owner of an engine's rate limit, whether a peer may send it a request.
func (r *Router) admissionRequested(from fleet.InstanceID, m *wire.AdmissionRequest) {
	reply := &wire.AdmissionReply{ID: m.ID}
	engine, _ := r.registry.Get(m.Engine)
	if pool := r.pools[engine.Service]; pool != nil {
		admitted, retryAfter := pool.engines.Admit(r.now, m.Engine, m.Key, m.FirstChoice)
		reply.Admitted, reply.RetryAfterMs = admitted, uint32(retryAfter.Milliseconds())
	}
	r.emit(SendMessage{To: from, Message: reply})
}

func (r *Router) admissionReplied(m *wire.AdmissionReply) {
	p, ok := r.admissions.pending[m.ID]
	if !ok {
		return
	}
	delete(r.admissions.pending, m.ID)
	r.admissionDecided(p, m.Admitted, milliseconds(m.RetryAfterMs))
}

// admissionDecided sends an admitted request and places a denied one again.
func (r *Router) admissionDecided(p pendingAdmission, admitted bool, retryAfter time.Duration) {
	pool := r.pools[p.call.service]
	if pool != nil && retryAfter > 0 {
		pool.engines.Denied(r.now, p.choice.Engine.ID, retryAfter)
	}
	switch {
	case r.calls[p.call.ID] != p.call:
		// The caller has left.
	case admitted && pool != nil && pool.engines.Accepts(p.choice.Engine.ID):
		r.send(p.call, pool, p.choice)
	default:
		p.call.deniedEngines = append(p.call.deniedEngines, p.choice.Engine.ID)
		r.place(p.call)
	}
}

// tickAdmissions places the requests again whose owner has not answered in time.
func (r *Router) tickAdmissions() {
	for id, p := range r.admissions.pending {
		if r.now-p.askedAt >= askTimeout {
			delete(r.admissions.pending, id)
			r.admissionDecided(p, false, ownerPause)
		}
	}
}
