package placement

import "time"

// Stats summarize a pool at one moment.
type Stats struct {
	// Engines counts all engines; Draining and Paused are those of them that take no new work.
	Engines, Draining, Paused int
	// Own counts the requests that this instance runs, Running those of all instances as far as
	// they are known.
	Own, Running int
	// Mean and Max are the load of the engines that take work, in requests.
	Mean float64
	Max  int
}

// Stats returns the pool's present state.
func (p *Pool) Stats(now time.Duration) Stats {
	s := Stats{Engines: len(p.order), Mean: p.mean(now)}
	for _, m := range p.order {
		s.Own += m.own
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
