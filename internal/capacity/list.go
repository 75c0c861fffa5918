package capacity

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/standin/platformsim"
)

// listReads is the number of reads of the instance list at each size.
const listReads = 200

// ListReads measures the processor time and the bytes of a read of the instance list. The
// time includes the stand-in, which encodes what the client decodes.
func ListReads(w io.Writer, sizes []int) error {
	cpu := Series{Name: "instance list: processor time of client and stand-in", XName: "instances", Unit: "us", Target: float64(Target.Instances)}
	size := Series{Name: "instance list: answer", XName: "instances", Unit: "kB", Target: float64(Target.Instances)}
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
	sim := platformsim.New(platformsim.Options{ReadsPerSecond: -1})
	server, err := sim.Start(loopback)
	if err != nil {
		return 0, 0, oops.Wrap(err)
	}
	defer func() { _ = server.Close() }()
	rows := growing(n)[0].instances()
	sim.SetInstances(rows)
	client := platform.NewHTTP(server.URL, nil)
	start := cpuTime()
	for range listReads {
		if _, err := client.Instances(context.Background()); err != nil {
			return 0, 0, oops.Wrap(err)
		}
	}
	used := float64((cpuTime() - start).Microseconds()) / listReads
	body, err := bodyLength(server.URL + "/instances")
	return used, float64(body) / 1000, err
}
