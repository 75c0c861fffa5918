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

// logPollInterval is the time between two reads of the daemons' logs.
const logPollInterval = 50 * time.Millisecond

// clockTicksPerSecond is the unit of processor times in /proc. It is 100 on all Linux platforms of Go.
const clockTicksPerSecond = 100

// inForceTimes returns the time at which each daemon put a version in force, according to its log.
// The time is zero for a daemon that has not put it in force.
func (f *daemonFleet) inForceTimes(version uint64) []time.Time {
	times := make([]time.Time, len(f.daemons))
	for i := range times {
		times[i] = firstLogTime(f.logFile(i), fmt.Sprintf("\"configuration in force\" version=%d ", version))
	}
	return times
}

// firstLogTime returns the time of the first line of a log that contains text, or the zero time.
func firstLogTime(logFile, text string) time.Time {
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

// awaitVersion waits until every daemon has a version in force, or returns an error after limit.
func (f *daemonFleet) awaitVersion(version uint64, limit time.Duration) error {
	end := time.Now().Add(limit)
	for slices.ContainsFunc(f.inForceTimes(version), time.Time.IsZero) {
		if time.Now().After(end) {
			return oops.Errorf("version %d is not in force everywhere after %s", version, limit)
		}
		time.Sleep(logPollInterval)
	}
	return nil
}

// usage is the processor time and the control bytes, by direction and kind, of a daemon since its
// start, and its resident memory in bytes. In the result of meanRates, cpu and control are
// means per second, and resident is a mean.
type usage struct {
	cpu      time.Duration
	resident float64
	control  map[string]float64
}

func (f *daemonFleet) usages() ([]usage, error) {
	all := make([]usage, len(f.daemons))
	for i, daemon := range f.daemons {
		cpu, resident, err := processUsage(daemon.Process.Pid)
		if err != nil {
			return nil, err
		}
		control, err := controlBytes("http://" + f.adminAddrs[i] + "/metrics")
		if err != nil {
			return nil, err
		}
		all[i] = usage{cpu, resident, control}
	}
	return all, nil
}

// processUsage returns the processor time and the resident memory in bytes of a process.
func processUsage(pid int) (time.Duration, float64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, oops.Wrap(err)
	}
	// The process name in parentheses may contain spaces. The fields after it are numbered from 3 in
	// proc(5).
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, oops.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, float64(pages * int64(os.Getpagesize())), nil
}

// controlBytes reads the control bytes of a daemon by direction and kind from its metrics.
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

// meanRates returns the daemons' mean usage per second between two observations that are d apart. The
// resident memory is the mean of the second observation.
func meanRates(before, after []usage, d time.Duration) usage {
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
