package demo

import (
	"bufio"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// series are the values of an instance's metrics, by name and label set.
type series map[string]float64

// parseSeries reads the Prometheus text format.
func parseSeries(lines *bufio.Scanner) (series, error) {
	values := series{}
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ')
		if at < 0 || line[0] == '#' {
			continue
		}
		value, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			return nil, oops.Wrapf(err, "metric %s", line[:at])
		}
		values[line[:at]] = value
	}
	return values, lines.Err()
}

// label returns the value of a label of a series, or "".
func label(name, key string) string {
	_, rest, _ := strings.Cut(name, key+`="`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// control sums an instance's control bytes, sent and received, by kind.
func (s series) control() map[string]float64 {
	kinds := map[string]float64{}
	for name, value := range s {
		if strings.HasPrefix(name, controlBytesMetric+"{") {
			kinds[label(name, "direction")+" "+label(name, "kind")] += value
		}
	}
	return kinds
}

// usage is what the instances that were read twice did between the two readings.
type usage struct {
	// sent and received hold the control bytes/s of each instance.
	sent, received []float64
	// kinds holds the mean control bytes/s per instance by direction and kind.
	kinds map[string]float64
	// counters holds the sums of the counters over the instances.
	counters series
}

// usageOf compares two readings of the instances' metrics.
func usageOf(before, after map[int]series, elapsed time.Duration) usage {
	u := usage{kinds: map[string]float64{}, counters: series{}}
	for i, last := range after {
		first, ok := before[i]
		if !ok {
			continue
		}
		u.add(first, last, elapsed.Seconds())
	}
	for kind := range u.kinds {
		u.kinds[kind] /= float64(max(len(u.sent), 1))
	}
	return u
}

func (u *usage) add(first, last series, seconds float64) {
	earlier, rates := first.control(), map[string]float64{}
	for kind, value := range last.control() {
		direction, _, _ := strings.Cut(kind, " ")
		rate := (value - earlier[kind]) / seconds
		rates[direction] += rate
		u.kinds[kind] += rate
	}
	u.sent = append(u.sent, rates["sent"])
	u.received = append(u.received, rates["received"])
	for name, value := range last {
		u.counters[name] += value - first[name]
	}
}

// largest returns the kinds of a direction with the most bytes.
func (u *usage) largest(direction string) string {
	const shown = 6
	kinds := slices.DeleteFunc(slices.Collect(maps.Keys(u.kinds)), func(kind string) bool {
		return !strings.HasPrefix(kind, direction+" ")
	})
	slices.SortFunc(kinds, func(a, b string) int {
		return cmp.Or(cmp.Compare(u.kinds[b], u.kinds[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, kind := range kinds[:min(shown, len(kinds))] {
		parts = append(parts, fmt.Sprintf("%s %.0f", strings.TrimPrefix(kind, direction+" "), u.kinds[kind]))
	}
	return strings.Join(parts, ", ")
}

// counter returns the sum of a daemon's counter over the instances.
func (u *usage) counter(name string) int {
	return int(u.counters["bilberry_"+name+"_total"])
}
