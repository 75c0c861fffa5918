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

// listReads is the number of reads of the instance list at each size.
const listReads = 200

// ListReads measures the processor time of a read and the bytes of the rows of the instance list. The
// time includes the stand-in, which encodes what the client decodes.
func ListReads(w io.Writer, sizes []int) error {
	cpu := Series{Name: "instance list: processor time of client and stand-in", XName: "instances", Unit: "us", Target: float64(Target.Instances)}
	size := Series{Name: "instance list: keys and values", XName: "instances", Unit: "kB", Target: float64(Target.Instances)}
	for _, n := range sizes {
		used, bytes, err := listRead(n)
		if err != nil {
			return err
		}
		cpu.Points = append(cpu.Points, Point{float64(n), used})
		size.Points = append(size.Points, Point{float64(n), bytes})
	}
	fmt.Fprintln(w, cpu)
	fmt.Fprintln(w, size)
	for i, n := range sizes {
		each := readsPerSecond(n)
		fmt.Fprintf(w, "instance list at %d instances: %.3f reads/s each, %.1f reads/s of the platform, %.0f B/s received each\n",
			n, each, each*float64(n), each*size.Points[i].Y*1000)
	}
	return nil
}

const (
	// listSettle lets the reads after a start pass, listWatch is the time in which reads count.
	listSettle = 60 * time.Second
	listWatch  = 10 * time.Minute
	soloTick   = 100 * time.Millisecond
)

// readsPerSecond returns the rate at which an instance reads the list.
func readsPerSecond(n int) float64 {
	s := newSolo(growing(n)[0])
	s.answerList = true
	s.run(listSettle)
	s.listReads = 0
	s.run(listWatch)
	return float64(s.listReads) / listWatch.Seconds()
}

// run lets time pass with a heartbeat of each peer per second.
func (s *solo) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += soloTick {
		if s.now%time.Second == 0 {
			s.beatAll()
		}
		s.step(core.Tick{})
	}
}

func listRead(n int) (microseconds, kilobytes float64, err error) {
	store, err := standin.ServeStore(loopback)
	if err != nil {
		return 0, 0, oops.Wrap(err)
	}
	defer func() { _ = store.Close() }()
	bytes := 0
	for _, row := range growing(n)[0].instances() {
		key, value, err := platform.InstanceEntry(row)
		if err != nil {
			return 0, 0, oops.Wrap(err)
		}
		store.Put(key, value)
		bytes += len(key) + len(value)
	}
	records := platform.NewRecords(userplatform.NewStore(store.Addr, nil))
	start := cpuTime()
	for range listReads {
		if _, err := records.Instances(context.Background()); err != nil {
			return 0, 0, oops.Wrap(err)
		}
	}
	used := float64((cpuTime() - start).Microseconds()) / listReads
	return used, float64(bytes) / 1000, nil
}
