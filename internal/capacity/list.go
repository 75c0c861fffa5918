package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	userplatform "github.com/bilberrywell/bilberrywell/platform"
	"github.com/bilberrywell/bilberrywell/platform/standin"
)

// measuredListReads is the number of reads of the instance list that are measured at each size.
const measuredListReads = 200

// ListReads measures the processor time of a read of the instance list, the size of the list and the
// rate of reads. The time includes that of the stand-in, which encodes what the client decodes.
func ListReads(w io.Writer, sizes []int) error {
	cpu := Series{Name: "instance list: processor time of client and stand-in", XName: "instances", Unit: "us", Target: float64(TargetSize.Instances)}
	size := Series{Name: "instance list: keys and values", XName: "instances", Unit: "kB", Target: float64(TargetSize.Instances)}
	for _, n := range sizes {
		used, bytes, err := measureListRead(n)
		if err != nil {
			return err
		}
		cpu.Points = append(cpu.Points, Point{float64(n), used})
		size.Points = append(size.Points, Point{float64(n), bytes})
	}
	fmt.Fprintln(w, cpu)
	fmt.Fprintln(w, size)
	for i, n := range sizes {
		readRate := readsPerSecond(n)
		fmt.Fprintf(w, "instance list at %d instances: %.3f reads/s each, %.1f reads/s of the platform, %.0f B/s received each\n",
			n, readRate, readRate*float64(n), readRate*size.Points[i].Y*1000)
	}
	return nil
}

const (
	// listWarmupTime is the time after a start in which reads are not counted, and listCountTime is the
	// time after it in which they are.
	listWarmupTime = 60 * time.Second
	listCountTime  = 10 * time.Minute
	tickInterval   = 100 * time.Millisecond
)

// readsPerSecond returns the rate at which one of n instances reads the list.
func readsPerSecond(n int) float64 {
	s := newSingleReducer(scaledSizes(n)[0])
	s.answerList = true
	s.runFor(listWarmupTime)
	s.listReads = 0
	s.runFor(listCountTime)
	return float64(s.listReads) / listCountTime.Seconds()
}

// runFor advances the time by d, with one heartbeat of each peer per second.
func (s *singleReducer) runFor(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tickInterval {
		if s.now%time.Second == 0 {
			s.receiveAllHeartbeats()
		}
		s.step(core.Tick{})
	}
}

func measureListRead(n int) (microseconds, kilobytes float64, err error) {
	store, err := standin.ServeStore(loopback)
	if err != nil {
		return 0, 0, oops.Wrap(err)
	}
	defer func() { _ = store.Close() }()
	bytes := 0
	for _, row := range scaledSizes(n)[0].instanceRows() {
		key, value, err := platform.InstanceEntry(row)
		if err != nil {
			return 0, 0, oops.Wrap(err)
		}
		store.Put(key, value)
		bytes += len(key) + len(value)
	}
	records := platform.NewRecords(userplatform.NewStore(store.Addr, nil))
	start := cpuTime()
	for range measuredListReads {
		if _, err := records.Instances(context.Background()); err != nil {
			return 0, 0, oops.Wrap(err)
		}
	}
	used := float64((cpuTime() - start).Microseconds()) / measuredListReads
	return used, float64(bytes) / 1000, nil
}
