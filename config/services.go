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
	f.namedEntries("service", "services", n, f.service)
}

func (f *fileReader) service(key, n *yaml.Node) {
	s := &Service{ID: fleet.ServiceID(key.Value), Timeout: DefaultTimeout, StallTimeout: DefaultStallTimeout}
	// chatOnlyFields holds the values of the present fields that only chat services may have.
	chatOnlyFields := map[string]*yaml.Node{}
	namesEngines := false
	chatOnlyString := func(name string, to *string) func(*yaml.Node) {
		return func(v *yaml.Node) {
			chatOnlyFields[name] = v
			*to, _ = f.String(v, name)
		}
	}
	f.Mapping(n, "a service", yamlfile.Fields{
		"kind":    func(v *yaml.Node) { s.Kind = f.kind(v) },
		"model":   chatOnlyString("model", &s.Model),
		"version": chatOnlyString("version", &s.Version),
		"role":    chatOnlyString("role", &s.Role),
		"adapters": func(v *yaml.Node) {
			chatOnlyFields["adapters"] = v
			s.Adapters = f.Strings(v, "adapters")
		},
		"engines": func(v *yaml.Node) {
			namesEngines = len(v.Content) > 0
			f.serviceEngines(s, v)
		},
		"select": func(v *yaml.Node) {
			namesEngines = true
			f.engineSelector(s, v)
		},
		"non_idempotent": func(v *yaml.Node) { f.callPatterns(s, v) },
		"resume": func(v *yaml.Node) {
			chatOnlyFields["resume"] = v
			s.Resume = f.Bool(v, "resume")
		},
		"timeout":       f.duration("timeout", &s.Timeout, time.Millisecond, maxTimeout),
		"stall_timeout": f.duration("stall_timeout", &s.StallTimeout, time.Millisecond, maxTimeout),
	}, "kind")
	f.checkKind(s, n, chatOnlyFields)
	if !namesEngines && n.Kind == yaml.MappingNode {
		f.reportf(key, "service %q has no engine, name some in engines or by select", s.ID)
	}
	f.compiler.snapshot.Services[s.ID] = s
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

// checkKind reports a missing field that the service's kind requires, and fields that it does not allow.
func (f *fileReader) checkKind(s *Service, n *yaml.Node, chatOnlyFields map[string]*yaml.Node) {
	switch s.Kind {
	case KindChat:
		if chatOnlyFields["model"] == nil {
			f.reportf(n, "a chat service needs the field %q", "model")
		}
	case KindPlain:
		for _, name := range slices.Sorted(maps.Keys(chatOnlyFields)) {
			f.reportf(chatOnlyFields[name], "a plain service must not have the field %q", name)
		}
	}
}

// serviceEngines reads a list of names of engines and of inline definitions of engines.
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
		f.deferCheck(func() {
			engine, ok := f.compiler.engines[fleet.EngineID(name)]
			if !ok {
				f.reportf(item, "engine %q is not defined", name)
				return
			}
			f.addEngine(s, engine, item)
		})
	}
}

// inlineEngine reads an engine that is defined in the list of its service.
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
	if _, ok := f.String(name, "id"); !ok || !f.defineName("engine", name) {
		return
	}
	f.engine(name, n, true)
	f.deferCheck(func() { f.addEngine(s, f.compiler.engines[fleet.EngineID(name.Value)], name) })
}

// engineSelector adds all engines whose labels include the given ones to a service.
func (f *fileReader) engineSelector(s *Service, n *yaml.Node) {
	want := f.StringMap(n, "select")
	if len(want) == 0 {
		f.reportf(n, "select needs at least one label")
		return
	}
	f.deferCheck(func() {
		found := false
		for _, id := range f.compiler.engineOrder {
			engine := f.compiler.engines[id]
			if hasLabels(engine.Labels, want) {
				found = true
				f.addEngine(s, engine, n)
			}
		}
		if !found {
			f.reportf(n, "no engine has these labels")
		}
	})
}

func hasLabels(labels, want map[string]string) bool {
	for key, value := range want {
		if labels[key] != value {
			return false
		}
	}
	return true
}

// addEngine adds an engine to a service. It reports an engine that already belongs to another
// service, because neither pool's load bound would limit the load of an engine in both.
func (f *fileReader) addEngine(s *Service, engine Engine, n *yaml.Node) {
	if owner, ok := f.compiler.owners[engine.ID]; ok {
		if owner != s.ID {
			f.reportf(n, "engine %q already belongs to service %q", engine.ID, owner)
		}
		return
	}
	f.compiler.owners[engine.ID] = s.ID
	s.Engines = append(s.Engines, engine)
}

func (f *fileReader) engines(n *yaml.Node) {
	f.namedEntries("engine", "engines", n, func(key, value *yaml.Node) { f.engine(key, value, false) })
}

func (f *fileReader) engine(key, n *yaml.Node, inline bool) {
	e := Engine{ID: fleet.EngineID(key.Value), Capacity: DefaultCapacity, Slots: DefaultSlots}
	fields := yamlfile.Fields{
		"addr":        func(v *yaml.Node) { f.engineAddr(&e, v) },
		"data_centre": func(v *yaml.Node) { e.DataCentre = fleet.DataCentre(f.readName(v, "data_centre")) },
		"region":      func(v *yaml.Node) { e.Region = fleet.Region(f.readName(v, "region")) },
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
	f.compiler.engines[e.ID] = e
}

func (f *fileReader) engineAddr(e *Engine, n *yaml.Node) {
	addr, ok := f.Addr(n, "addr")
	if ok && f.defineUnique("address", addr, n) {
		e.Addr = addr
	}
}

// readName reads a name and checks its form. The name is defined elsewhere.
func (f *fileReader) readName(n *yaml.Node, what string) string {
	text, ok := f.String(n, what)
	if ok && !namePattern.MatchString(text) {
		f.reportf(n, "%s has 1 to 63 letters, digits, dots, dashes or underscores, not %q", what, text)
	}
	return text
}

var methodPattern = regexp.MustCompile(`^([A-Z]+|\*)$`)

// callPatterns reads the calls of a service that may run at most once.
func (f *fileReader) callPatterns(s *Service, n *yaml.Node) {
	for _, item := range f.Items(n, "non_idempotent") {
		var p CallPattern
		f.Mapping(item, "a call", yamlfile.Fields{
			"method": func(v *yaml.Node) { p.Method = f.method(v) },
			"path":   func(v *yaml.Node) { p.Path = f.pathPrefix(v) },
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
	if ok && !methodPattern.MatchString(text) {
		f.reportf(n, "method must be an upper-case HTTP method or \"*\", not %q", text)
	}
	return text
}

// pathPrefix reads a path without escapes, query, fragment or wildcard.
func (f *fileReader) pathPrefix(n *yaml.Node) string {
	text, ok := f.String(n, "path")
	if ok && (!strings.HasPrefix(text, "/") || strings.ContainsAny(text, "?#*% ") || strings.Contains(text, "//")) {
		f.reportf(n, "path must be a plain path that starts with /, not %q", text)
	}
	return text
}
