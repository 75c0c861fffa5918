package experiment

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/virtualtime"
	"github.com/bilberrywell/bilberrywell/placement"
)

const (
	// tokensPerMilli is the reading speed. An uncached prompt of 12,000 tokens takes 168 ms with the six steps in which
	// it is read, in the middle of the 120 to 210 ms of docs/overload.md.
	tokensPerMilli = 100
	// chunkTokens is the largest number of prompt tokens that an engine reads in one step.
	chunkTokens = 2048
	// stepTime is the time in which every running request whose prompt is read gets one token.
	stepTime = 8 * time.Millisecond
	// fetchCost is the cost of a prompt token that is fetched from another engine's cache, relative to reading it. It
	// is an assumption.
	fetchCost = 0.125
)

// engineConfig holds the limits of an engine. cacheTokens is the size of its cache of prompt parts.
type engineConfig struct{ slots, maxWaiting, cacheTokens int }

// engine models a model engine: a batch with slots, a bounded queue in order of urgency, prompts that are read in
// chunks between the steps, and a cache of prompt parts.
type engine struct {
	clock  *virtualtime.Clock
	config engineConfig
	rng    *rand.Rand
	cache  partCache
	// speed multiplies the speed of reading and of steps. It applies from the next step on.
	speed float64
	// rejectShare and failShare are the shares of arrivals that are rejected, or answered with a failure.
	rejectShare, failShare float64

	running, waiting []*job
	stepping         bool
	arrivals         uint64
}

// job is a request at an engine.
type job struct {
	urgency, output int
	parts           []part
	// source is the engine from whose cache the prompt may be fetched, or nil.
	source *engine
	// reject reports that the engine does not run the request, start the first token, and end the last one.
	reject, start, end func()

	arrival  uint64
	unread   float64
	produced int
	ended    bool
}

func newEngine(c *virtualtime.Clock, config engineConfig, rng *rand.Rand) *engine {
	cache := partCache{size: config.cacheTokens, parts: make(map[uint64]*list.Element), byUse: list.New()}
	return &engine{clock: c, config: config, rng: rng, speed: 1, cache: cache}
}

// load is what the engine reports of itself in responses.
func (e *engine) load() placement.Load {
	return placement.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.config.slots}
}

// submit runs a request, queues it or rejects it. If the queue is full, the least urgent and latest request is
// rejected.
func (e *engine) submit(j *job) {
	e.arrivals++
	j.arrival = e.arrivals
	if e.rng.Float64() < e.rejectShare {
		j.ended = true
		j.reject()
		return
	}
	at, _ := slices.BinarySearchFunc(e.waiting, j, compareJobs)
	e.waiting = slices.Insert(e.waiting, at, j)
	e.fillSlots()
	if last := len(e.waiting) - 1; last >= e.config.maxWaiting {
		rejected := e.waiting[last]
		e.waiting = e.waiting[:last]
		rejected.ended = true
		rejected.reject()
	}
	e.step()
}

func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.arrival, b.arrival))
}

// cancel removes a request whose caller no longer wants it.
func (e *engine) cancel(j *job) {
	j.ended = true
	isJob := func(other *job) bool { return other == j }
	e.running, e.waiting = slices.DeleteFunc(e.running, isJob), slices.DeleteFunc(e.waiting, isJob)
	e.fillSlots()
}

func (e *engine) fillSlots() {
	for len(e.running) < e.config.slots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.unread = e.uncached(j)
		e.running = append(e.running, j)
	}
	slices.SortFunc(e.running, compareJobs)
}

// uncached returns the number of tokens that a request costs to read. A part is cached only together with all parts
// before it.
func (e *engine) uncached(j *job) float64 {
	cost, here, there := 0.0, true, j.source != nil
	for _, p := range j.parts {
		here = here && e.cache.parts[p.id] != nil
		there = there && j.source.cache.parts[p.id] != nil
		switch {
		case here:
		case there:
			cost += fetchCost * float64(p.tokens)
		default:
			cost += float64(p.tokens)
		}
	}
	return cost
}

// step begins a step unless one is under way: it reads up to a chunk of the most urgent unread prompts and gives the
// requests that are read a token.
func (e *engine) step() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	room := float64(chunkTokens)
	for _, j := range e.running {
		read := min(room, j.unread)
		j.unread -= read
		room -= read
	}
	took := float64(stepTime) + (chunkTokens-room)/tokensPerMilli*float64(time.Millisecond)
	stepped := slices.Clone(e.running)
	e.clock.After(time.Duration(took/e.speed), func() { e.endStep(stepped) })
}

func (e *engine) endStep(stepped []*job) {
	for _, j := range stepped {
		if j.ended || j.unread > 0 {
			continue
		}
		if j.produced++; j.produced == 1 {
			e.cache.add(j.parts)
			j.start()
		}
		if j.produced >= j.output {
			j.ended = true
			j.end()
		}
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.ended })
	e.fillSlots()
	e.stepping = false
	e.step()
}

// part is a part of a prompt.
type part struct {
	id     uint64
	tokens int
}

// partCache holds the parts of prompts that were used last, up to a number of tokens. byUse begins with the last used.
type partCache struct {
	size, tokens int
	parts        map[uint64]*list.Element
	byUse        *list.List
}

// add records the use of parts and evicts the parts that were not used for longest.
func (c *partCache) add(parts []part) {
	for _, p := range parts {
		if e := c.parts[p.id]; e != nil {
			c.byUse.MoveToFront(e)
			continue
		}
		c.parts[p.id] = c.byUse.PushFront(p)
		c.tokens += p.tokens
	}
	for c.tokens > c.size {
		oldest := c.byUse.Remove(c.byUse.Back()).(part)
		delete(c.parts, oldest.id)
		c.tokens -= oldest.tokens
	}
}
