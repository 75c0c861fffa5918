package placement

import "github.com/bilberrywell/bilberrywell/fleet"

// An engine may leave the pool while it runs requests and come back before they end, for example when it was expelled.
// Its counts are kept meanwhile: if it came back with none, the ends of these requests would be counted against later
// ones, and the load of a busy engine would stay too low until it is idle.

// running reports whether an engine runs requests of this instance or reads their prompts.
func (m *member) running() bool { return m.ownRequests > 0 || m.unread.own > 0 }

// keepDeparted keeps the counts of the engines that run requests and are not among the pool's next members.
func (p *Pool) keepDeparted(next map[fleet.EngineID]*member) {
	for id, m := range p.members {
		if next[id] != nil || !m.running() {
			continue
		}
		if p.departed == nil {
			p.departed = make(map[fleet.EngineID]*member)
		}
		p.departed[id] = m
	}
}

// takeDeparted gives an engine that joins the pool the counts with which it left.
func (p *Pool) takeDeparted(m *member, id fleet.EngineID) {
	if old := p.departed[id]; old != nil {
		m.ownRequests = old.ownRequests
		m.unread.own, m.unread.ownSent = old.unread.own, old.unread.ownSent
		delete(p.departed, id)
	}
}

// counted returns the member that counts the requests at an engine, or nil.
func (p *Pool) counted(id fleet.EngineID) *member {
	if m := p.members[id]; m != nil {
		return m
	}
	return p.departed[id]
}

// forgetIdle drops the counts of an engine that has left and runs nothing any more.
func (p *Pool) forgetIdle(id fleet.EngineID) {
	if m := p.departed[id]; m != nil && !m.running() {
		delete(p.departed, id)
	}
}
