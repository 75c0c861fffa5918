package capacity

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

// pollInterval is the time between looks at the daemons' logs.
const pollInterval = 50 * time.Millisecond

// clockTicks is the number of ticks per second in /proc, which is 100 on all Linux platforms of Go.
const clockTicks = 100

// inForceTimes returns when each daemon took a version into force, from its log. The zero
// time stands for a daemon that has not.
func (p *processes) inForceTimes(version uint64) []time.Time {
	times := make([]time.Time, len(p.children))
	for i := range times {
		times[i] = inForceTime(p.logFile(i), fmt.Sprintf("\"configuration in force\" version=%d ", version))
	}
	return times
}

// inForceTime returns the time of the first log line with a text.
func inForceTime(logFile, text string) time.Time {
	log, err := os.ReadFile(logFile)
	if err != nil {
		return time.Time{}
	}
	for line := range strings.Lines(string(log)) {
		if fields := strings.Fields(line); strings.Contains(line, text) && len(fields) > 1 {
			at, err := time.ParseInLocation("2006 0102 15:04:05.000000", fmt.Sprint(time.Now().Year(), " ", fields[0][1:], " ", fields[1]), time.Local)
			if err == nil {
				return at
			}
		}
	}
	return time.Time{}
}

// awaitVersion waits until every daemon has a version in force.
func (p *processes) awaitVersion(version uint64, limit time.Duration) error {
	end := time.Now().Add(limit)
	for slices.ContainsFunc(p.inForceTimes(version), time.Time.IsZero) {
		if time.Now().After(end) {
			return oops.Errorf("version %d is not in force everywhere after %s", version, limit)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// usage is what a daemon has used since its start.
type usage struct {
	cpu      time.Duration
	resident float64
	control  map[string]float64
}

func (p *processes) usages() ([]usage, error) {
	all := make([]usage, len(p.children))
	for i, child := range p.children {
		cpu, resident, err := processUsage(child.Process.Pid)
		if err != nil {
			return nil, err
		}
		control, err := controlBytes("http://" + p.admin[i] + "/metrics")
		if err != nil {
			return nil, err
		}
		all[i] = usage{cpu, resident, control}
	}
	return all, nil
}

// processUsage returns the processor time and the resident bytes of a process.
func processUsage(pid int) (time.Duration, float64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, oops.Wrap(err)
	}
	// The name in parentheses may hold spaces; the fields after it are counted from 3.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, oops.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, float64(pages * int64(os.Getpagesize())), nil
}

// controlBytes returns the control bytes of a daemon by direction and kind.
func controlBytes(url string) (map[string]float64, error) {
	response, err := http.Get(url)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return parseControlBytes(response.Body)
}

func parseControlBytes(r io.Reader) (map[string]float64, error) {
	bytes := make(map[string]float64)
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), `bilberry_control_bytes_total{direction="`)
		if !ok {
			continue
		}
		labels, value, _ := strings.Cut(rest, "} ")
		direction, kind, _ := strings.Cut(labels, `",kind="`)
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, oops.Wrap(err)
		}
		bytes[direction+" "+strings.TrimSuffix(kind, `"`)] = n
	}
	return bytes, lines.Err()
}

// rates returns the mean use per second of the daemons between two observations. The
// resident bytes are those of the second one.
func rates(before, after []usage, d time.Duration) usage {
	mean := usage{control: make(map[string]float64)}
	n := float64(len(after))
	for i := range after {
		mean.cpu += (after[i].cpu - before[i].cpu) / time.Duration(len(after))
		mean.resident += after[i].resident / n
		for kind, bytes := range after[i].control {
			mean.control[kind] += (bytes - before[i].control[kind]) / n / d.Seconds()
		}
	}
	mean.cpu = time.Duration(float64(mean.cpu) / d.Seconds())
	return mean
}
