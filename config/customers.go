package config

import (
	"fmt"
	"regexp"
	"time"
	_ "time/tzdata" // Files must compile on machines without a zone database too.

	"gopkg.in/yaml.v3"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/yamlfile"
)

const (
	maxWeight       = 1e6
	maxRate         = 1e6
	maxClass        = 15
	maxQueueTime    = 24 * time.Hour
	maxStopDuration = 30 * 24 * time.Hour
	maxLoadBound    = 10
	maxQueueLength  = 1 << 16
)

func (f *fileReader) customers(n *yaml.Node) {
	f.namedEntries("customer", "customers", n, f.customer)
}

func (f *fileReader) customer(key, n *yaml.Node) {
	c := &Customer{ID: fleet.CustomerID(key.Value), Weight: DefaultWeight, Priority: DefaultPriority}
	f.Mapping(n, "a customer", yamlfile.Fields{
		"weight":   f.number("weight", &c.Weight, 1e-3, maxWeight),
		"rate":     f.number("rate", &c.RatePerSecond, 1e-3, maxRate),
		"burst":    f.number("burst", &c.Burst, 1, maxRate),
		"priority": func(v *yaml.Node) { f.customerPriority(c, v) },
		"services": func(v *yaml.Node) { f.customerServices(c, v) },
		"keys":     func(v *yaml.Node) { f.keys(c, v) },
	}, "rate")
	if c.Burst == 0 {
		c.Burst = max(1, c.RatePerSecond)
	}
	f.compiler.snapshot.Customers[c.ID] = c
}

func (f *fileReader) customerPriority(c *Customer, n *yaml.Node) {
	name, ok := f.String(n, "priority")
	if !ok {
		return
	}
	c.Priority = name
	f.deferCheck(func() {
		if _, ok := f.compiler.snapshot.Priorities[name]; !ok {
			f.reportf(n, "priority %q is not defined", name)
		}
	})
}

func (f *fileReader) customerServices(c *Customer, n *yaml.Node) {
	items := f.Items(n, "services")
	if len(items) == 0 && n.Kind == yaml.SequenceNode {
		f.reportf(n, "services must not be empty, leave it out to allow all services")
	}
	seen := map[string]bool{}
	for _, item := range items {
		name, ok := f.String(item, "an item of services")
		if !ok {
			continue
		}
		if seen[name] {
			f.reportf(item, "duplicate %q in services", name)
			continue
		}
		seen[name] = true
		c.Services = append(c.Services, fleet.ServiceID(name))
		f.deferCheck(func() {
			if _, ok := f.compiler.snapshot.Services[fleet.ServiceID(name)]; !ok {
				f.reportf(item, "service %q is not defined", name)
			}
		})
	}
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// keys reads the digests of a customer's API keys.
func (f *fileReader) keys(c *Customer, n *yaml.Node) {
	for _, item := range f.Items(n, "keys") {
		digest, ok := f.Text(item, "an item of keys")
		if !ok {
			continue
		}
		if !digestPattern.MatchString(digest) {
			// The message leaves the value out, because it may be an API key entered by mistake.
			f.reportf(item, "an item of keys must be a SHA-256 digest of 64 lower-case hex digits (bilberryctl keygen prints one)")
			continue
		}
		if f.defineUnique("key digest", digest, item) {
			f.compiler.snapshot.KeyDigests[digest] = c.ID
		}
	}
}

func (f *fileReader) priorities(n *yaml.Node) {
	f.namedEntries("priority", "priorities", n, f.priority)
}

func (f *fileReader) priority(key, n *yaml.Node) {
	p := Priority{Name: key.Value, Class: DefaultClass, MaxQueue: DefaultMaxQueue}
	f.Mapping(n, "a priority", yamlfile.Fields{
		"class": func(v *yaml.Node) {
			if i, ok := f.Int(v, "class", 0, maxClass); ok {
				p.Class = i
			}
		},
		"max_queue": f.duration("max_queue", &p.MaxQueue, time.Millisecond, maxQueueTime),
		"deadline":  func(v *yaml.Node) { p.Deadline = f.timeOfDay(v) },
	}, "class")
	f.compiler.snapshot.Priorities[p.Name] = p
}

var timeOfDayPattern = regexp.MustCompile(`^([0-9]{2}:[0-9]{2}) ([A-Za-z0-9_+/-]+)$`)

// timeOfDay reads a time of day with its zone. It returns nil after reporting a fault.
func (f *fileReader) timeOfDay(n *yaml.Node) *TimeOfDay {
	text, ok := f.Text(n, "deadline")
	if !ok {
		return nil
	}
	deadline, err := parseTimeOfDay(text)
	if err != nil {
		f.reportf(n, "deadline must be a time of day and a zone such as 05:30 Asia/Tokyo, not %q", text)
		return nil
	}
	return deadline
}

// parseTimeOfDay parses text such as "05:30 Asia/Tokyo".
func parseTimeOfDay(text string) (*TimeOfDay, error) {
	m := timeOfDayPattern.FindStringSubmatch(text)
	if m == nil || m[2] == "Local" {
		return nil, fmt.Errorf("config: invalid time of day: %q", text)
	}
	clock, err := time.Parse("15:04", m[1])
	if err != nil {
		return nil, err
	}
	location, err := time.LoadLocation(m[2])
	if err != nil {
		return nil, err
	}
	return &TimeOfDay{Hour: clock.Hour(), Minute: clock.Minute(), Zone: m[2], Location: location}, nil
}

func (f *fileReader) stops(n *yaml.Node) {
	for _, item := range f.Items(n, "stops") {
		f.stop(item)
	}
}

func (f *fileReader) stop(n *yaml.Node) {
	var s Stop
	f.Mapping(n, "a stop", yamlfile.Fields{
		"engine":   func(v *yaml.Node) { f.stopEngine(&s, v) },
		"instance": func(v *yaml.Node) { s.Instance = fleet.InstanceID(f.readName(v, "instance")) },
		"at":       func(v *yaml.Node) { s.At, _ = f.Time(v, "at") },
		"for":      f.duration("for", &s.For, time.Second, maxStopDuration),
	}, "at", "for")
	if n.Kind == yaml.MappingNode && (s.Engine == "") == (s.Instance == "") {
		f.reportf(n, "a stop names one engine or one instance")
		return
	}
	key := fmt.Sprintf("%s%s at %s", s.Engine, s.Instance, s.At.UTC().Format(time.RFC3339))
	if f.defineUnique("stop of", key, n) {
		f.compiler.snapshot.Stops = append(f.compiler.snapshot.Stops, s)
	}
}

func (f *fileReader) stopEngine(s *Stop, n *yaml.Node) {
	name := f.readName(n, "engine")
	s.Engine = fleet.EngineID(name)
	f.deferCheck(func() {
		if _, ok := f.compiler.engines[s.Engine]; !ok && name != "" {
			f.reportf(n, "engine %q is not defined", name)
		}
	})
}

// limits reads the section limits. All files together may define each limit once.
func (f *fileReader) limits(n *yaml.Node) {
	l := &f.compiler.snapshot.Limits
	read := yamlfile.Fields{
		"load_bound":              f.number("load_bound", &l.LoadBound, 1, maxLoadBound),
		"weight_loads_per_second": f.number("weight_loads_per_second", &l.WeightLoadsPerSecond, 1e-3, maxRate),
		"max_pool_change":         f.number("max_pool_change", &l.MaxPoolChange, 1e-3, 1),
		"queue_length": func(v *yaml.Node) {
			if i, ok := f.Int(v, "queue_length", 1, maxQueueLength); ok {
				l.QueueLength = i
			}
		},
	}
	for name, field := range read {
		read[name] = func(v *yaml.Node) {
			if f.defineUnique("limit", name, v) {
				field(v)
			}
		}
	}
	f.Mapping(n, "limits", read)
}
