package retry

import "time"

// windowSlices is the number of slices of equal length in which a Window counts attempts.
const windowSlices = 10

// Window bounds the extra attempts in a sliding window of time by the first attempts in it:
// extra <= Ratio * first + Reserve. Each instance applies its part of a bound on the whole fleet.
// The zero value allows nothing. It is not safe for concurrent use.
type Window struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the number of extra attempts for each first attempt.
	Ratio float64
	// Reserve is the number of extra attempts that are allowed without first attempts.
	Reserve float64

	// first and extra count attempts by slice number modulo windowSlices. currentSlice is the number
	// of the newest slice.
	first, extra [windowSlices]int
	currentSlice int64
	claims       claimCounts
}

// CountFirst counts a first attempt.
func (w *Window) CountFirst(now time.Duration) {
	w.advance(now)
	w.first[w.currentSlice%windowSlices]++
}

// Allow counts one extra attempt and returns true if the bound allows it.
func (w *Window) Allow(now time.Duration) bool {
	w.advance(now)
	if !w.inBound() {
		return false
	}
	w.extra[w.currentSlice%windowSlices]++
	return true
}

// Remaining returns the number of extra attempts that the bound still allows.
func (w *Window) Remaining(now time.Duration) float64 {
	w.advance(now)
	return w.left()
}

// inBound reports whether the bound allows one more extra attempt.
func (w *Window) inBound() bool { return float64(w.sum(&w.extra)+1) <= w.allowance() }

func (w *Window) left() float64 { return w.allowance() - float64(w.sum(&w.extra)) }

// allowance returns the number of extra attempts that the bound allows in the whole window.
func (w *Window) allowance() float64 { return w.Ratio*float64(w.sum(&w.first)) + w.Reserve }

func (w *Window) sum(counts *[windowSlices]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// advance moves the window to now and clears the slices that are no longer in it.
func (w *Window) advance(now time.Duration) {
	current := int64(now / max(w.Length/windowSlices, 1))
	for n := min(current-w.currentSlice, windowSlices); n > 0; n-- {
		i := (current - n + 1) % windowSlices
		w.first[i], w.extra[i] = 0, 0
		w.claims.clear(current - n + 1)
	}
	w.currentSlice = max(w.currentSlice, current)
}
