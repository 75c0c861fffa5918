package config

import (
	"cmp"
	"fmt"
	"maps"
	"regexp"
	"slices"

	"gopkg.in/yaml.v3"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/yamlfile"
)

// Compile checks the files of a bundle and compiles them. The snapshot is nil if there are
// findings. The result depends on files alone.
func Compile(files map[string][]byte) (*Snapshot, Findings) {
	c := newCompiler()
	for _, name := range slices.Sorted(maps.Keys(files)) {
		c.file(name, files[name])
	}
	c.defaultPriority()
	c.engineOrder = slices.Sorted(maps.Keys(c.engines))
	for _, check := range c.references {
		check()
	}
	c.findings.Sort()
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	c.finish()
	return c.snapshot, nil
}

// place is a node in a file.
type place struct {
	file string
	node *yaml.Node
}

func (p place) String() string { return fmt.Sprintf("%s:%d", p.file, p.node.Line) }

// compiler collects the content of all files. References are checked after the last file.
type compiler struct {
	snapshot *Snapshot
	findings Findings
	engines  map[fleet.EngineID]Engine
	// engineOrder lists all engines by ID. It is set before references are checked.
	engineOrder []fleet.EngineID
	// owners maps an engine to the service that it belongs to.
	owners map[fleet.EngineID]fleet.ServiceID
	// defined maps "kind name" to the first definition, to find duplicates across files.
	defined    map[string]place
	references []func()
}

func newCompiler() *compiler {
	return &compiler{
		snapshot: &Snapshot{
			Services:   map[fleet.ServiceID]*Service{},
			Customers:  map[fleet.CustomerID]*Customer{},
			KeyDigests: map[string]fleet.CustomerID{},
			Priorities: map[string]Priority{},
			Limits: Limits{
				LoadBound:            DefaultLoadBound,
				WeightLoadsPerSecond: DefaultWeightLoadsPerSecond,
				MaxPoolChange:        DefaultMaxPoolChange,
				QueueLength:          DefaultQueueLength,
			},
		},
		engines: map[fleet.EngineID]Engine{},
		owners:  map[fleet.EngineID]fleet.ServiceID{},
		defined: map[string]place{},
	}
}

// fileReader reads one file.
type fileReader struct {
	yamlfile.Reader
	c    *compiler
	name string
}

func (c *compiler) report(file string, line, column int, message string) {
	c.findings = append(c.findings, Finding{File: file, Line: max(1, line), Column: max(1, column), Message: message})
}

func (c *compiler) file(name string, data []byte) {
	if len(data) > MaxFileBytes {
		c.report(name, 1, 1, fmt.Sprintf("has %d bytes, the limit is %d", len(data), MaxFileBytes))
		return
	}
	root, syntax := yamlfile.Parse(data)
	if syntax != nil {
		c.report(name, syntax.Line, 1, syntax.Message)
		return
	}
	if root == nil {
		c.report(name, 1, 1, "the file is empty")
		return
	}
	f := &fileReader{c: c, name: name}
	f.Report = func(n *yaml.Node, message string) { c.report(name, n.Line, n.Column, message) }
	f.Mapping(root, "the file", yamlfile.Fields{
		"services":   f.services,
		"engines":    f.engines,
		"customers":  f.customers,
		"priorities": f.priorities,
		"stops":      f.stops,
		"limits":     f.limits,
	})
}

func (f *fileReader) reportf(n *yaml.Node, format string, args ...any) {
	f.Report(n, fmt.Sprintf(format, args...))
}

// later registers a check of a reference.
func (f *fileReader) later(check func()) {
	f.c.references = append(f.c.references, check)
}

// name63 limits names so that they fit in URLs, keys and log lines without escaping.
var name63 = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// define checks the form of a name and registers its definition. It returns false for a
// duplicate, which is reported at its own place.
func (f *fileReader) define(kind string, n *yaml.Node) bool {
	if !name63.MatchString(n.Value) {
		f.reportf(n, "the name of a %s has 1 to 63 letters, digits, dots, dashes or underscores, not %q", kind, n.Value)
	}
	return f.once(kind, n.Value, n)
}

func (f *fileReader) once(kind, name string, n *yaml.Node) bool {
	key := kind + " " + name
	if first, ok := f.c.defined[key]; ok {
		f.reportf(n, "%s %q is already defined at %s", kind, name, first)
		return false
	}
	f.c.defined[key] = place{f.name, n}
	return true
}

// named calls read for each entry of a section whose name is new.
func (f *fileReader) named(kind, section string, n *yaml.Node, read func(key, value *yaml.Node)) {
	f.Entries(n, section, func(key, value *yaml.Node) {
		if f.define(kind, key) {
			read(key, value)
		}
	})
}

func (c *compiler) defaultPriority() {
	if _, ok := c.defined["priority "+DefaultPriority]; ok {
		return
	}
	c.snapshot.Priorities[DefaultPriority] = Priority{Name: DefaultPriority, Class: DefaultClass, MaxQueue: DefaultMaxQueue}
}

// finish puts lists in an order that does not depend on file names.
func (c *compiler) finish() {
	for _, s := range c.snapshot.Services {
		slices.SortFunc(s.Engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.SortFunc(c.snapshot.Stops, func(a, b Stop) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Instance, b.Instance))
	})
}
