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

// Compile checks the files of a bundle and compiles them into a snapshot. The snapshot is nil if
// there are findings. The result depends on nothing but files.
func Compile(files map[string][]byte) (*Snapshot, Findings) {
	c := newCompiler()
	for _, name := range slices.Sorted(maps.Keys(files)) {
		c.readFile(name, files[name])
	}
	c.addDefaultPriority()
	c.engineOrder = slices.Sorted(maps.Keys(c.engines))
	for _, check := range c.referenceChecks {
		check()
	}
	c.findings.Sort()
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	c.sortLists()
	return c.snapshot, nil
}

// position is the position of a node in the files.
type position struct {
	file string
	node *yaml.Node
}

func (p position) String() string { return fmt.Sprintf("%s:%d", p.file, p.node.Line) }

// compiler collects the content of all files. It checks references between definitions after the
// last file.
type compiler struct {
	snapshot *Snapshot
	findings Findings
	engines  map[fleet.EngineID]Engine
	// engineOrder lists the IDs of all engines in ascending order. It is set before references are
	// checked.
	engineOrder []fleet.EngineID
	// owners maps each engine to the service that it belongs to.
	owners map[fleet.EngineID]fleet.ServiceID
	// defined maps "kind name" to the first definition, to find duplicates across files.
	defined map[string]position
	// referenceChecks holds the checks that run after the last file.
	referenceChecks []func()
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
		defined: map[string]position{},
	}
}

// fileReader reads one file into a compiler.
type fileReader struct {
	yamlfile.Reader
	compiler *compiler
	name     string
}

func (c *compiler) report(file string, line, column int, message string) {
	c.findings = append(c.findings, Finding{File: file, Line: max(1, line), Column: max(1, column), Message: message})
}

// readFile reads the sections of one file.
func (c *compiler) readFile(name string, data []byte) {
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
	f := &fileReader{compiler: c, name: name}
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

// deferCheck registers a check that runs after the last file, when all definitions are known.
func (f *fileReader) deferCheck(check func()) {
	f.compiler.referenceChecks = append(f.compiler.referenceChecks, check)
}

// namePattern matches names of up to 63 characters that need no escaping in URLs, keys and log lines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// defineName checks the form of a name and registers its definition. It returns false for a
// duplicate, which it reports.
func (f *fileReader) defineName(kind string, n *yaml.Node) bool {
	if !namePattern.MatchString(n.Value) {
		f.reportf(n, "the name of a %s has 1 to 63 letters, digits, dots, dashes or underscores, not %q", kind, n.Value)
	}
	return f.defineUnique(kind, n.Value, n)
}

// defineUnique registers the first definition of a name. It returns false for a duplicate, which it
// reports at the duplicate's position.
func (f *fileReader) defineUnique(kind, name string, n *yaml.Node) bool {
	key := kind + " " + name
	if first, ok := f.compiler.defined[key]; ok {
		f.reportf(n, "%s %q is already defined at %s", kind, name, first)
		return false
	}
	f.compiler.defined[key] = position{f.name, n}
	return true
}

// namedEntries calls read for each entry of a section whose name was not defined before.
func (f *fileReader) namedEntries(kind, section string, n *yaml.Node, read func(key, value *yaml.Node)) {
	f.Entries(n, section, func(key, value *yaml.Node) {
		if f.defineName(kind, key) {
			read(key, value)
		}
	})
}

// addDefaultPriority adds the priority DefaultPriority unless a file defines it.
func (c *compiler) addDefaultPriority() {
	if _, ok := c.defined["priority "+DefaultPriority]; ok {
		return
	}
	c.snapshot.Priorities[DefaultPriority] = Priority{Name: DefaultPriority, Class: DefaultClass, MaxQueue: DefaultMaxQueue}
}

// sortLists sorts the lists of the snapshot, so that their order does not depend on file names.
func (c *compiler) sortLists() {
	for _, s := range c.snapshot.Services {
		slices.SortFunc(s.Engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.SortFunc(c.snapshot.Stops, func(a, b Stop) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Instance, b.Instance))
	})
}
