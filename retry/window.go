package retry

import "time"

// windowSlices is the resolution of a Window.
const windowSlices = 10

// Window bounds extra attempts by the first attempts of a sliding window, as one instance's part
// of a bound on the whole fleet: extra <= Ratio * first + Reserve. The zero value allows nothing.
// It is not safe for concurrent use.
type Window struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the number of extra attempts for each first attempt.
	Ratio float64
	// Reserve is the number of extra attempts that are allowed without first ones.
	Reserve float64

	first, extra [windowSlices]int
	slice        int64
}

// First counts a first attempt.
func (w *Window) First(now time.Duration) {
	w.advance(now)
	w.first[w.slice%windowSlices]++
}

// Allow takes one extra attempt if the bound has room for it.
func (w *Window) Allow(now time.Duration) bool {
	w.advance(now)
	if float64(w.sum(&w.extra)+1) > w.Ratio*float64(w.sum(&w.first))+w.Reserve {
		return false
	}
	w.extra[w.slice%windowSlices]++
	return true
}

// Left returns the number of extra attempts that the bound has room for.
func (w *Window) Left(now time.Duration) float64 {
	w.advance(now)
	return w.Ratio*float64(w.sum(&w.first)) + w.Reserve - float64(w.sum(&w.extra))
}

func (w *Window) sum(counts *[windowSlices]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// advance clears the slices that have left the window.
func (w *Window) advance(now time.Duration) {
	at := int64(now / max(w.Length/windowSlices, 1))
	for n := min(at-w.slice, windowSlices); n > 0; n-- {
		i := (at - n + 1) % windowSlices
		w.first[i], w.extra[i] = 0, 0
	}
	w.slice = max(w.slice, at)
}
