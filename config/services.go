package config

import (
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/yamlfile"
)

const (
	maxTimeout  = 24 * time.Hour
	maxCapacity = 1e6
	maxSlots    = 1 << 16
)

func (f *fileReader) services(n *yaml.Node) {
	f.named("service", "services", n, f.service)
}

func (f *fileReader) service(key, n *yaml.Node) {
	s := &Service{ID: fleet.ServiceID(key.Value), Timeout: DefaultTimeout, StallTimeout: DefaultStallTimeout}
	chatOnly := map[string]*yaml.Node{}
	named := false
	text := func(name string, to *string) func(*yaml.Node) {
		return func(v *yaml.Node) {
			chatOnly[name] = v
			*to, _ = f.String(v, name)
		}
	}
	f.Mapping(n, "a service", yamlfile.Fields{
		"kind":    func(v *yaml.Node) { s.Kind = f.kind(v) },
		"model":   text("model", &s.Model),
		"version": text("version", &s.Version),
		"role":    text("role", &s.Role),
		"adapters": func(v *yaml.Node) {
			chatOnly["adapters"] = v
			s.Adapters = f.Strings(v, "adapters")
		},
		"engines": func(v *yaml.Node) {
			named = len(v.Content) > 0
			f.serviceEngines(s, v)
		},
		"select": func(v *yaml.Node) {
			named = true
			f.selector(s, v)
		},
		"non_idempotent": func(v *yaml.Node) { f.callPatterns(s, v) },
		"resume": func(v *yaml.Node) {
			chatOnly["resume"] = v
			s.Resume = f.Bool(v, "resume")
		},
		"timeout":       f.duration("timeout", &s.Timeout, time.Millisecond, maxTimeout),
		"stall_timeout": f.duration("stall_timeout", &s.StallTimeout, time.Millisecond, maxTimeout),
	}, "kind")
	f.checkKind(s, n, chatOnly)
	if !named && n.Kind == yaml.MappingNode {
		f.reportf(key, "service %q has no engine, name some in engines or by select", s.ID)
	}
	f.c.snapshot.Services[s.ID] = s
}

func (f *fileReader) duration(what string, to *time.Duration, low, high time.Duration) func(*yaml.Node) {
	return func(v *yaml.Node) {
		if d, ok := f.Duration(v, what, low, high); ok {
			*to = d
		}
	}
}

func (f *fileReader) number(what string, to *float64, low, high float64) func(*yaml.Node) {
	return func(v *yaml.Node) {
		if x, ok := f.Number(v, what, low, high); ok {
			*to = x
		}
	}
}

func (f *fileReader) flag(what string, to *bool) func(*yaml.Node) {
	return func(v *yaml.Node) { *to = f.Bool(v, what) }
}

func (f *fileReader) kind(n *yaml.Node) Kind {
	text, ok := f.String(n, "kind")
	if ok && text != string(KindChat) && text != string(KindPlain) {
		f.reportf(n, "kind must be chat or plain, not %q", text)
	}
	return Kind(text)
}

// checkKind reports fields that do not fit the service's kind.
func (f *fileReader) checkKind(s *Service, n *yaml.Node, chatOnly map[string]*yaml.Node) {
	switch s.Kind {
	case KindChat:
		if chatOnly["model"] == nil {
			f.reportf(n, "a chat service needs the field %q", "model")
		}
	case KindPlain:
		for _, name := range slices.Sorted(maps.Keys(chatOnly)) {
			f.reportf(chatOnly[name], "a plain service must not have the field %q", name)
		}
	}
}

// serviceEngines reads names of engines and engines defined in place.
func (f *fileReader) serviceEngines(s *Service, n *yaml.Node) {
	seen := map[string]bool{}
	for _, item := range f.Items(n, "engines") {
		if item.Kind == yaml.MappingNode {
			f.inlineEngine(s, item)
			continue
		}
		name, ok := f.String(item, "an item of engines")
		if !ok {
			continue
		}
		if seen[name] {
			f.reportf(item, "duplicate %q in engines", name)
			continue
		}
		seen[name] = true
		f.later(func() {
			engine, ok := f.c.engines[fleet.EngineID(name)]
			if !ok {
				f.reportf(item, "engine %q is not defined", name)
				return
			}
			f.join(s, engine, item)
		})
	}
}

func (f *fileReader) inlineEngine(s *Service, n *yaml.Node) {
	var name *yaml.Node
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == "id" {
			name = n.Content[i+1]
		}
	}
	if name == nil {
		f.reportf(n, "an engine in a service needs the field %q", "id")
		return
	}
	if _, ok := f.String(name, "id"); !ok || !f.define("engine", name) {
		return
	}
	f.engine(name, n, true)
	f.later(func() { f.join(s, f.c.engines[fleet.EngineID(name.Value)], name) })
}

// selector adds all engines whose labels include the given ones.
func (f *fileReader) selector(s *Service, n *yaml.Node) {
	want := f.StringMap(n, "select")
	if len(want) == 0 {
		f.reportf(n, "select needs at least one label")
		return
	}
	f.later(func() {
		found := false
		for _, id := range f.c.engineOrder {
			engine := f.c.engines[id]
			if matches(engine.Labels, want) {
				found = true
				f.join(s, engine, n)
			}
		}
		if !found {
			f.reportf(n, "no engine has these labels")
		}
	})
}

func matches(labels, want map[string]string) bool {
	for key, value := range want {
		if labels[key] != value {
			return false
		}
	}
	return true
}

// join adds an engine to a service. An engine in two services would escape the load bound of
// both pools, so a second owner is reported.
func (f *fileReader) join(s *Service, engine Engine, n *yaml.Node) {
	if owner, ok := f.c.owners[engine.ID]; ok {
		if owner != s.ID {
			f.reportf(n, "engine %q already belongs to service %q", engine.ID, owner)
		}
		return
	}
	f.c.owners[engine.ID] = s.ID
	s.Engines = append(s.Engines, engine)
}

func (f *fileReader) engines(n *yaml.Node) {
	f.named("engine", "engines", n, func(key, value *yaml.Node) { f.engine(key, value, false) })
}

func (f *fileReader) engine(key, n *yaml.Node, inline bool) {
	e := Engine{ID: fleet.EngineID(key.Value), Capacity: DefaultCapacity, Slots: DefaultSlots}
	fields := yamlfile.Fields{
		"addr":        func(v *yaml.Node) { f.engineAddr(&e, v) },
		"data_centre": func(v *yaml.Node) { e.DataCentre = fleet.DataCentre(f.word(v, "data_centre")) },
		"region":      func(v *yaml.Node) { e.Region = fleet.Region(f.word(v, "region")) },
		"capacity":    f.number("capacity", &e.Capacity, 1e-3, maxCapacity),
		"slots": func(v *yaml.Node) {
			if i, ok := f.Int(v, "slots", 1, maxSlots); ok {
				e.Slots = i
			}
		},
		"checks_fencing":          f.flag("checks_fencing", &e.ChecksFencing),
		"checks_idempotency_keys": f.flag("checks_idempotency_keys", &e.ChecksIdempotencyKeys),
		"kv_transfer":             f.flag("kv_transfer", &e.KVTransfer),
		"reports_load":            f.flag("reports_load", &e.ReportsLoad),
		"labels":                  func(v *yaml.Node) { e.Labels = f.StringMap(v, "labels") },
	}
	if inline {
		fields["id"] = func(*yaml.Node) {}
	}
	f.Mapping(n, "an engine", fields, "addr", "data_centre", "region")
	f.c.engines[e.ID] = e
}

func (f *fileReader) engineAddr(e *Engine, n *yaml.Node) {
	addr, ok := f.Addr(n, "addr")
	if ok && f.once("address", addr, n) {
		e.Addr = addr
	}
}

// word reads a name that is defined elsewhere.
func (f *fileReader) word(n *yaml.Node, what string) string {
	text, ok := f.String(n, what)
	if ok && !name63.MatchString(text) {
		f.reportf(n, "%s has 1 to 63 letters, digits, dots, dashes or underscores, not %q", what, text)
	}
	return text
}

var methodForm = regexp.MustCompile(`^([A-Z]+|\*)$`)

func (f *fileReader) callPatterns(s *Service, n *yaml.Node) {
	for _, item := range f.Items(n, "non_idempotent") {
		var p CallPattern
		f.Mapping(item, "a call", yamlfile.Fields{
			"method": func(v *yaml.Node) { p.Method = f.method(v) },
			"path":   func(v *yaml.Node) { p.Path = f.path(v) },
		}, "method", "path")
		if slices.Contains(s.NonIdempotent, p) {
			f.reportf(item, "duplicate call %s %s", p.Method, p.Path)
			continue
		}
		s.NonIdempotent = append(s.NonIdempotent, p)
	}
}

func (f *fileReader) method(n *yaml.Node) string {
	text, ok := f.String(n, "method")
	if ok && !methodForm.MatchString(text) {
		f.reportf(n, "method must be an upper-case HTTP method or \"*\", not %q", text)
	}
	return text
}

func (f *fileReader) path(n *yaml.Node) string {
	text, ok := f.String(n, "path")
	if ok && (!strings.HasPrefix(text, "/") || strings.ContainsAny(text, "?#*% ") || strings.Contains(text, "//")) {
		f.reportf(n, "path must be a plain path that starts with /, not %q", text)
	}
	return text
}
