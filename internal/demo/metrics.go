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

// metricValues holds the values of an instance's metrics by name and label set.
type metricValues map[string]float64

// parseSeries reads the Prometheus text format.
func parseSeries(lines *bufio.Scanner) (metricValues, error) {
	values := metricValues{}
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

// label returns the value of a label of a series, or "". The series is written as in the Prometheus
// text format, with its label set.
func label(series, labelName string) string {
	_, rest, _ := strings.Cut(series, labelName+`="`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// controlBytes returns an instance's control bytes by direction and kind.
func (s metricValues) controlBytes() map[string]float64 {
	kinds := map[string]float64{}
	for name, value := range s {
		if strings.HasPrefix(name, controlBytesMetric+"{") {
			kinds[label(name, "direction")+" "+label(name, "kind")] += value
		}
	}
	return kinds
}

// controlUsage is the change of the instances' metrics between two readings. It covers the instances
// that are in both readings.
type controlUsage struct {
	// sent and received hold the control bytes/s of each instance.
	sent, received []float64
	// bytesByKind holds the mean control bytes/s per instance by direction and kind.
	bytesByKind map[string]float64
	// counters holds the increase of each metric, summed over the instances.
	counters metricValues
}

// usageBetween computes the usage from two readings of the instances' metrics.
func usageBetween(before, after map[int]metricValues, elapsed time.Duration) controlUsage {
	u := controlUsage{bytesByKind: map[string]float64{}, counters: metricValues{}}
	for i, last := range after {
		first, ok := before[i]
		if !ok {
			continue
		}
		u.addInstance(first, last, elapsed.Seconds())
	}
	for kind := range u.bytesByKind {
		u.bytesByKind[kind] /= float64(max(len(u.sent), 1))
	}
	return u
}

func (u *controlUsage) addInstance(first, last metricValues, seconds float64) {
	earlier, rates := first.controlBytes(), map[string]float64{}
	for kind, value := range last.controlBytes() {
		direction, _, _ := strings.Cut(kind, " ")
		rate := (value - earlier[kind]) / seconds
		rates[direction] += rate
		u.bytesByKind[kind] += rate
	}
	u.sent = append(u.sent, rates["sent"])
	u.received = append(u.received, rates["received"])
	for name, value := range last {
		u.counters[name] += value - first[name]
	}
}

// largestKinds returns the six kinds of a direction with the most bytes, as text.
func (u *controlUsage) largestKinds(direction string) string {
	const shown = 6
	kinds := slices.DeleteFunc(slices.Collect(maps.Keys(u.bytesByKind)), func(kind string) bool {
		return !strings.HasPrefix(kind, direction+" ")
	})
	slices.SortFunc(kinds, func(a, b string) int {
		return cmp.Or(cmp.Compare(u.bytesByKind[b], u.bytesByKind[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, kind := range kinds[:min(shown, len(kinds))] {
		parts = append(parts, fmt.Sprintf("%s %.0f", strings.TrimPrefix(kind, direction+" "), u.bytesByKind[kind]))
	}
	return strings.Join(parts, ", ")
}

// counter returns the increase of a daemon's counter, summed over the instances.
func (u *controlUsage) counter(name string) int {
	return int(u.counters["bilberry_"+name+"_total"])
}
