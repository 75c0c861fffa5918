package placement

import "time"

// Stats summarizes a pool at one moment.
type Stats struct {
	// Engines is the number of all engines; Draining, Evacuated and Paused count those that get no new requests. An
	// engine that drains is not counted as evacuated.
	Engines, Draining, Evacuated, Paused int
	// Limited counts the engines with a rate limit, Quiet those that want no request from this instance for
	// some time.
	Limited, Quiet int
	// Warming counts the engines that are cold.
	Warming int
	// OwnRequests is the number of requests that this instance runs, AllRequests the estimated number
	// that all instances run.
	OwnRequests, AllRequests int
	// OwnUnread is the number of prompt tokens of this instance's requests that are still to be read, AllUnread the
	// estimated number of those of all instances.
	OwnUnread, AllUnread int
	// MeanLoad is the mean load of the engines that are not draining, MaxLoad the highest one of those in service, in
	// requests.
	MeanLoad float64
	MaxLoad  int
}

// Stats returns the pool's current state.
func (p *Pool) Stats(now time.Duration) Stats {
	s := Stats{Engines: len(p.memberList), MeanLoad: p.mean(now)}
	for _, m := range p.memberList {
		s.OwnRequests += m.ownRequests
		s.AllRequests += p.load(now, m)
		s.OwnUnread += m.unread.own
		s.AllUnread += max(m.unread.own, p.stateOf(now, m).Unread)
		if m.limited() {
			s.Limited++
		}
		switch {
		case m.Draining:
			s.Draining++
			continue
		case m.Evacuated:
			s.Evacuated++
			continue
		}
		if now < m.QuietUntil {
			s.Quiet++
		}
		if m.warming(now) {
			s.Warming++
		}
		s.MaxLoad = max(s.MaxLoad, p.load(now, m))
		if p.Paused(now, m.ID) {
			s.Paused++
		}
	}
	return s
}
