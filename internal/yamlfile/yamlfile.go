// Package yamlfile converts YAML nodes to values strictly and reports every value that is not valid.
//
// A Reader does not stop at the first fault: it reports the fault with its node and returns a
// zero value, so that one pass finds all faults. Anchors, aliases and several documents in
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

// Reader converts nodes to values and reports faults. The argument what of its methods names the
// value in messages.
type Reader struct {
	// Report receives each fault with the node at fault.
	Report func(n *yaml.Node, message string)
}

// Fields maps a field name to the function that reads its value.
type Fields map[string]func(value *yaml.Node)

// SyntaxError is a fault that keeps a file from being parsed.
type SyntaxError struct {
	// Line is the line number, counted from 1.
	Line    int
	Message string
}

// Error returns the message without the line.
func (e *SyntaxError) Error() string { return e.Message }

// yamlErrorPrefix matches the start of an error of package yaml, with the line number if there is one.
var yamlErrorPrefix = regexp.MustCompile(`^yaml: (?:line (\d+): )?`)

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

// syntaxError converts an error of package yaml.
func syntaxError(err error) *SyntaxError {
	text := err.Error()
	line := 1
	if m := yamlErrorPrefix.FindStringSubmatch(text); m != nil {
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

// Entries calls each for every key and value of a mapping. It reports and leaves out entries with
// a duplicate key, a key that is not a scalar, an anchor or an alias.
func (r Reader) Entries(n *yaml.Node, what string, each func(key, value *yaml.Node)) {
	if !r.checkNoAlias(n) {
		return
	}
	if n.Kind != yaml.MappingNode {
		r.reportf(n, "%s must be a mapping", what)
		return
	}
	first := map[string]int{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if !r.checkNoAlias(key) || !r.checkNoAlias(value) {
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

// Mapping reads a mapping with known fields. It reports unknown fields and missing required fields.
func (r Reader) Mapping(n *yaml.Node, what string, fields Fields, required ...string) {
	present := map[string]bool{}
	r.Entries(n, what, func(key, value *yaml.Node) {
		read, ok := fields[key.Value]
		if !ok {
			r.reportf(key, "unknown field %q in %s, known are %s", key.Value, what, fieldNames(fields))
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

// fieldNames returns the sorted names of fields, separated by commas.
func fieldNames(fields Fields) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// Items returns the items of a sequence. It reports items with anchors or aliases and leaves them out.
func (r Reader) Items(n *yaml.Node, what string) []*yaml.Node {
	if !r.checkNoAlias(n) {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		r.reportf(n, "%s must be a list", what)
		return nil
	}
	var items []*yaml.Node
	for _, item := range n.Content {
		if r.checkNoAlias(item) {
			items = append(items, item)
		}
	}
	return items
}

// checkNoAlias returns false for a node that is an alias or has an anchor, which it reports.
func (r Reader) checkNoAlias(n *yaml.Node) bool {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		r.reportf(n, "anchors and aliases are not supported")
		return false
	}
	return true
}
