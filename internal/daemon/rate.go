package daemon

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// rateWindow is the time over which the rate of control bytes is averaged.
	rateWindow = time.Minute
	// sampleInterval is the time between two samples.
	sampleInterval = 5 * time.Second
)

// byteRate measures the mean rate of control bytes sent over the last minute.
type byteRate struct {
	set *metrics.Set

	mu      sync.Mutex
	samples []byteSample
}

// byteSample is the number of control bytes sent up to a time.
type byteSample struct {
	at    time.Time
	bytes float64
}

func newByteRate(set *metrics.Set) *byteRate {
	r := &byteRate{set: set}
	r.sample()
	return r
}

// run takes samples until ctx ends.
func (r *byteRate) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.sample()
		}
	}
}

// sample adds a sample and drops those that are older than the window.
func (r *byteRate) sample() {
	newest := byteSample{at: time.Now(), bytes: r.totalSent()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, newest)
	for newest.at.Sub(r.samples[0].at) > rateWindow {
		r.samples = r.samples[1:]
	}
}

// perSecond returns the mean rate since the oldest sample.
func (r *byteRate) perSecond() float64 {
	total := r.totalSent()
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.samples[0]
	elapsed := time.Since(oldest.at).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return (total - oldest.bytes) / elapsed
}

// totalSent returns the sum of the counters of sent control bytes over all kinds.
func (r *byteRate) totalSent() float64 {
	var text bytes.Buffer
	r.set.WritePrometheus(&text)
	sum := 0.0
	scanner := bufio.NewScanner(&text)
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, `bilberry_control_bytes_total{direction="sent"`) {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err == nil {
			sum += value
		}
	}
	return sum
}
