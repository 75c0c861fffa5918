// Package yamlfile reads YAML node trees strictly and reports every value that does not fit.
//
// A Reader never stops at the first fault: it reports the fault with its node and returns a
// zero value, so that one pass finds everything. Anchors, aliases and several documents in
// one file are rejected, because a short settings file needs none of them.
package yamlfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// Reader converts nodes to values and reports faults.
type Reader struct {
	// Report receives each fault with the node at fault.
	Report func(n *yaml.Node, message string)
}

// Fields maps a field name to the function that reads its value.
type Fields map[string]func(value *yaml.Node)

// SyntaxError is a fault that keeps a file from being parsed.
type SyntaxError struct {
	// Line is the line number from 1.
	Line    int
	Message string
}

// Error returns the message without the line.
func (e *SyntaxError) Error() string { return e.Message }

var yamlLine = regexp.MustCompile(`^yaml: (?:line (\d+): )?`)

// Parse returns the root node of the only document in data, or nil if data holds none.
func Parse(data []byte) (*yaml.Node, *SyntaxError) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document, second yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		return nil, syntaxError(err)
	}
	switch err := decoder.Decode(&second); {
	case err == nil:
		return nil, &SyntaxError{Line: max(1, second.Line), Message: "a file must hold one YAML document"}
	case !errors.Is(err, io.EOF):
		return nil, syntaxError(err)
	}
	return document.Content[0], nil
}

func syntaxError(err error) *SyntaxError {
	text := err.Error()
	line := 1
	if m := yamlLine.FindStringSubmatch(text); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			line = max(1, n)
		}
		text = text[len(m[0]):]
	}
	return &SyntaxError{Line: line, Message: "invalid YAML: " + text}
}

func (r Reader) reportf(n *yaml.Node, format string, args ...any) {
	r.Report(n, fmt.Sprintf(format, args...))
}

// Entries calls each for every key and value of a mapping with distinct keys. What names the
// mapping in messages.
func (r Reader) Entries(n *yaml.Node, what string, each func(key, value *yaml.Node)) {
	if !r.plain(n) {
		return
	}
	if n.Kind != yaml.MappingNode {
		r.reportf(n, "%s must be a mapping", what)
		return
	}
	first := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if !r.plain(key) || !r.plain(value) {
			continue
		}
		if key.Kind != yaml.ScalarNode {
			r.reportf(key, "a key of %s must be a single word", what)
			continue
		}
		if line, ok := first[key.Value]; ok {
			r.reportf(key, "duplicate key %q in %s, first on line %d", key.Value, what, line)
			continue
		}
		first[key.Value] = key.Line
		each(key, value)
	}
}

// Mapping reads a mapping with known fields. It reports unknown fields and absent required ones.
func (r Reader) Mapping(n *yaml.Node, what string, fields Fields, required ...string) {
	present := map[string]bool{}
	r.Entries(n, what, func(key, value *yaml.Node) {
		read, ok := fields[key.Value]
		if !ok {
			r.reportf(key, "unknown field %q in %s, known are %s", key.Value, what, names(fields))
			return
		}
		present[key.Value] = true
		read(value)
	})
	if n.Kind != yaml.MappingNode {
		return
	}
	for _, name := range required {
		if !present[name] {
			r.reportf(n, "%s needs the field %q", what, name)
		}
	}
}

func names(fields Fields) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// Items returns the items of a sequence.
func (r Reader) Items(n *yaml.Node, what string) []*yaml.Node {
	if !r.plain(n) {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		r.reportf(n, "%s must be a list", what)
		return nil
	}
	var items []*yaml.Node
	for _, item := range n.Content {
		if r.plain(item) {
			items = append(items, item)
		}
	}
	return items
}

// plain reports anchors and aliases.
func (r Reader) plain(n *yaml.Node) bool {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		r.reportf(n, "anchors and aliases are not supported")
		return false
	}
	return true
}
