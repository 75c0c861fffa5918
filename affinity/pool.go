package affinity

import (
	"cmp"
	"math"
	"slices"
)

// Pool is a fixed list of candidates with precomputed seeds, for ranking many keys. It is
// read-only after NewPool and safe for concurrent use.
type Pool struct {
	candidates []Candidate
	seeds      []uint64
	// uniform reports whether all candidates have the same positive weight.
	uniform bool
}

// NewPool returns a pool of candidates. The slice must not be changed afterwards.
func NewPool(candidates []Candidate) *Pool {
	seeds := make([]uint64, len(candidates))
	uniform := true
	for i, c := range candidates {
		seeds[i] = Seed(c.ID)
		uniform = uniform && c.Weight > 0 && c.Weight == candidates[0].Weight
	}
	return &Pool{candidates: candidates, seeds: seeds, uniform: uniform}
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

// rejectTolerance covers the floating-point error in the comparison that rejected makes.
const rejectTolerance = 1 + 1e-9

// Top returns the first k entries of Rank for key, written into dst[:0]. It allocates only
// when dst has a capacity below k.
func (p *Pool) Top(key uint64, k int, dst []Choice) []Choice {
	top := dst[:0]
	k = min(k, len(p.candidates))
	if k <= 0 {
		return top
	}
	if k > maxInsertK {
		return p.sorted(key, top)[:k]
	}
	if p.uniform {
		return p.topUniform(key, k, top, p.likelyKth(k))
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

// topUniform is Top for candidates of equal weight. Their scores rise with their hashes, so that nearly all of them are
// rejected by a comparison of integers, and few logarithms are computed.
func (p *Pool) topUniform(key uint64, k int, top []Choice, likelyKth uint64) []Choice {
	top = p.aboveHash(key, k, top, likelyKth)
	if len(top) < k {
		top = p.aboveHash(key, k, top[:0], 0)
	}
	for i, c := range top {
		top[i].Score = Score(key, p.seeds[c.Index], p.candidates[c.Index].Weight)
	}
	return top
}

// likelyKth returns a hash that the k-th highest of all candidates very likely exceeds: 2k+16 of them do on average.
// The candidates below need not be compared with the best so far.
func (p *Pool) likelyKth(k int) uint64 {
	share := float64(2*k+16) / float64(len(p.seeds))
	return uint64(max(1-share, 0) * (1 << 53))
}

// aboveHash returns the best k of the candidates whose hashes are at least least, with the hashes as scores: a hash has
// 53 bits.
func (p *Pool) aboveHash(key uint64, k int, top []Choice, least uint64) []Choice {
	for i, seed := range p.seeds {
		hash := mix(key^seed) >> 11
		if hash < least {
			continue
		}
		top = p.insert(top, k, Choice{i, float64(hash)})
		if len(top) == k {
			least = uint64(top[k-1].Score)
		}
	}
	return top
}

// maxInsertK is the largest k for which Top selects by insertion, which costs up to k moves for each
// candidate. Above about this size it is cheaper to sort all candidates.
const maxInsertK = 64

// sorted returns all candidates in descending order of score, appended to dst.
func (p *Pool) sorted(key uint64, dst []Choice) []Choice {
	for i, seed := range p.seeds {
		dst = append(dst, Choice{i, Score(key, seed, p.candidates[i].Weight)})
	}
	slices.SortFunc(dst, func(a, b Choice) int {
		if a.Score != b.Score {
			return cmp.Compare(b.Score, a.Score)
		}
		return cmp.Or(cmp.Compare(p.candidates[a.Index].ID, p.candidates[b.Index].ID), cmp.Compare(a.Index, b.Index))
	})
	return dst
}

// rejected reports whether a candidate is certain to score below kthScore, the k-th best score.
// Since -ln(u) >= 1-u, a score -w/ln(u) is at most w/(1-u), which needs no logarithm. A candidate
// that is not rejected may still score below it.
func rejected(key, seed uint64, weight, kthScore float64) bool {
	u := (float64(mix(key^seed)>>11) + 0.5) / (1 << 53)
	return (1-u)*kthScore > math.Max(weight, 0)*rejectTolerance
}

// insert puts a choice at its position in the sorted list of the k best.
func (p *Pool) insert(top []Choice, k int, c Choice) []Choice {
	position := len(top)
	for position > 0 && p.before(c, top[position-1]) {
		position--
	}
	if position == k {
		return top
	}
	if len(top) < k {
		top = append(top, Choice{})
	}
	copy(top[position+1:], top[position:])
	top[position] = c
	return top
}

// before reports whether a ranks ahead of b.
func (p *Pool) before(a, b Choice) bool {
	if a.Score != b.Score {
		return a.Score > b.Score
	}
	return p.candidates[a.Index].ID < p.candidates[b.Index].ID
}
