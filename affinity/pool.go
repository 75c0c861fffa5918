package affinity

import (
	"math"
	"slices"
)

// Pool is a fixed list of candidates with precomputed seeds, for ranking many keys. It is
// read-only after NewPool and safe for concurrent use.
type Pool struct {
	candidates []Candidate
	seeds      []uint64
}

// NewPool returns a pool of candidates. The slice must not be changed afterwards.
func NewPool(candidates []Candidate) *Pool {
	seeds := make([]uint64, len(candidates))
	for i, c := range candidates {
		seeds[i] = Seed(c.ID)
	}
	return &Pool{candidates: candidates, seeds: seeds}
}

// Len returns the number of candidates.
func (p *Pool) Len() int { return len(p.candidates) }

// Candidate returns the candidate with index i.
func (p *Pool) Candidate(i int) Candidate { return p.candidates[i] }

// Choice is a candidate's index in its pool and its score for a key.
type Choice struct {
	Index int
	Score float64
}

// rejectSlack covers floating-point error in the logarithm-free rejection test of Top.
const rejectSlack = 1 + 1e-9

// Top returns the first k entries of Rank for key, written into dst[:0]. It allocates only
// when dst has a capacity below k.
func (p *Pool) Top(key uint64, k int, dst []Choice) []Choice {
	top := dst[:0]
	k = min(k, len(p.candidates))
	if k <= 0 {
		return top
	}
	if k > insertMost {
		return p.sorted(key, top)[:k]
	}
	for i, seed := range p.seeds {
		weight := p.candidates[i].Weight
		if len(top) == k && rejected(key, seed, weight, top[k-1].Score) {
			continue
		}
		top = p.insert(top, k, Choice{i, Score(key, seed, weight)})
	}
	return top
}

// insertMost is the largest k that Top selects by insertion, which costs up to k moves for each
// candidate. Sorting all is cheaper from about this size on.
const insertMost = 64

// sorted returns all candidates in order, written into dst.
func (p *Pool) sorted(key uint64, dst []Choice) []Choice {
	for i, seed := range p.seeds {
		dst = append(dst, Choice{i, Score(key, seed, p.candidates[i].Weight)})
	}
	slices.SortStableFunc(dst, func(a, b Choice) int {
		switch {
		case p.before(a, b):
			return -1
		case p.before(b, a):
			return 1
		}
		return 0
	})
	return dst
}

// rejected reports that a candidate certainly scores below the k-th best. Since
// -ln(u) >= 1-u, a score -w/ln(u) is at most w/(1-u), which needs no logarithm.
func rejected(key, seed uint64, weight, kth float64) bool {
	u := (float64(mix(key^seed)>>11) + 0.5) / (1 << 53)
	return (1-u)*kth > math.Max(weight, 0)*rejectSlack
}

// insert puts a choice at its place in a list of at most k.
func (p *Pool) insert(top []Choice, k int, c Choice) []Choice {
	at := len(top)
	for at > 0 && p.before(c, top[at-1]) {
		at--
	}
	if at == k {
		return top
	}
	if len(top) < k {
		top = append(top, Choice{})
	}
	copy(top[at+1:], top[at:])
	top[at] = c
	return top
}

// before reports whether a ranks ahead of b.
func (p *Pool) before(a, b Choice) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	return p.candidates[a.Index].ID < p.candidates[b.Index].ID
}
