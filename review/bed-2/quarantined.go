//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	poolEngines = 9
	// trafficTime is how long clients send requests. The engines crash at crashAt, crashWave at a time every crashGap,
	// and each is back after downTime.
	trafficTime = 80 * time.Second
	crashAt     = 8 * time.Second
	crashWave   = 1
	crashGap    = 110 * time.Millisecond
	downTime    = 4500 * time.Millisecond
)

// kind is a kind of request with its rate and prompts.
type kind struct {
	name, method, path string
	perSecond          float64
	deadline           time.Duration
	// firstParts is the number of different first parts of the prompt, 0 without a prompt; subjects that of second ones.
	firstParts, subjects int
}

var kinds = []kind{
	{"plan", "POST", "/plan/x", 17.8, 12 * time.Second, 1, 40},
	{"chat", "POST", "/chat/x", 28.4, 10 * time.Second, 20, 43},
	{"tag", "POST", "/tag/x", 28.5, 3 * time.Second, 8, 43},
	{"order", "POST", "/order/x", 18.7, 600 * time.Millisecond, 0, 0},
	{"stock", "GET", "/stock/x", 8, 600 * time.Millisecond, 0, 0},
}

// count counts the requests of a kind by when they were sent: before the crashes, and after all engines are back.
type count struct{ asked, served, askedAfter, servedAfter, refusedAfter int }

// quarantinedKind crashes the engines of a service one after the other. It checks that no kind of request is
// served less than a quarter as often as all.
func quarantinedKind(b *bed) (bool, error) {
	var pool []*engine
	for range poolEngines {
		e, err := b.addEngine("pool", true)
		if err != nil {
			return false, err
		}
		pool = append(pool, e)
	}
	for range 4 {
		if _, err := b.addEngine("desk", false); err != nil {
			return false, err
		}
	}
	b.publish(func(tenant int) []string { return []string{fmt.Sprintf("key%d", tenant)} })
	if err := b.startGateways(7); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	allBack := start.Add(crashAt + downTime + 3*time.Second)
	counts := make([]count, len(kinds))
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i, k := range kinds {
		clients.Go(func() {
			for n := 0; time.Since(start) < trafficTime; n++ {
				clients.Go(func() {
					a := b.sendKind(k, n)
					mu.Lock()
					defer mu.Unlock()
					counts[i].add(a, a.sent.After(allBack))
				})
				time.Sleep(time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second)))
			}
		})
	}
	if b.trouble {
		clients.Go(func() { b.crashAll(pool, start) })
	}
	clients.Wait()
	return b.checkStarved(counts), nil
}

func (c *count) add(a answer, after bool) {
	c.asked++
	if a.served() {
		c.served++
	}
	if !after {
		return
	}
	c.askedAfter++
	switch {
	case a.served():
		c.servedAfter++
	case a.status == 503:
		c.refusedAfter++
	}
}

func (b *bed) sendKind(k kind, n int) answer {
	prompt := ""
	if k.firstParts > 0 {
		prompt = fmt.Sprintf("%s%x:512,%s5%x:2000,%s9%x:300", prefixOf(k), rand.IntN(k.firstParts), prefixOf(k), rand.IntN(k.subjects), prefixOf(k), n)
	}
	key := fmt.Sprintf("key%d", rand.IntN(10))
	return b.send(b.gateways[rand.IntN(len(b.gateways))], k.method, fmt.Sprintf("%s%d", k.path, n), fmt.Sprintf("%s-%d", k.name, n), key, prompt, k.deadline)
}

// prefixOf returns hexadecimal digits that tell the parts of a kind from those of others.
func prefixOf(k kind) string { return fmt.Sprintf("%x", k.name[:1]) }

// crashAll crashes all engines of the pool, a wave at a time. Each is back after downTime.
func (b *bed) crashAll(pool []*engine, start time.Time) {
	time.Sleep(time.Until(start.Add(crashAt)))
	var back sync.WaitGroup
	for i := 0; i < len(pool); i += crashWave {
		for _, e := range pool[i:min(i+crashWave, len(pool))] {
			e.crash()
			b.note("engine %d crashes", e.number)
			back.Go(func() {
				time.Sleep(downTime)
				if err := e.start(); err != nil {
					b.note("engine %d did not start: %v", e.number, err)
					return
				}
				b.note("engine %d is back", e.number)
			})
		}
		time.Sleep(crashGap)
	}
	back.Wait()
}

// checkStarved reports whether a kind of request was served less than a quarter as often as all requests.
func (b *bed) checkStarved(counts []count) bool {
	asked, served := 0, 0
	for _, c := range counts {
		asked, served = asked+c.asked, served+c.served
	}
	all := float64(served) / float64(max(asked, 1))
	broken := false
	for i, c := range counts {
		share := float64(c.served) / float64(max(c.asked, 1))
		b.note("%s: %d asked, %d served (%.2f; all requests: %.2f); sent after all engines were back: %d asked, %d served, %d refused with 503",
			kinds[i].name, c.asked, c.served, share, all, c.askedAfter, c.servedAfter, c.refusedAfter)
		broken = broken || share < all/4
	}
	return broken
}
