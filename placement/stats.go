package placement

import "time"

// Stats summarizes a pool at one moment.
type Stats struct {
	// Engines is the number of all engines; Draining and Paused count those that get no new requests.
	Engines, Draining, Paused int
	// Own is the number of requests that this instance runs, Running the estimated number that all
	// instances run.
	Own, Running int
	// Mean and Max are the mean and highest load of the engines that are not draining, in requests.
	Mean float64
	Max  int
}

// Stats returns the pool's current state.
func (p *Pool) Stats(now time.Duration) Stats {
	s := Stats{Engines: len(p.memberList), Mean: p.mean(now)}
	for _, m := range p.memberList {
		s.Own += m.ownRequests
		s.Running += p.load(now, m)
		if m.Draining {
			s.Draining++
			continue
		}
		s.Max = max(s.Max, p.load(now, m))
		if p.Paused(now, m.ID) {
			s.Paused++
		}
	}
	return s
}
