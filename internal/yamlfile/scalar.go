package yamlfile

import (
	"math"
	"net/netip"
	"strconv"
	"time"

	"gopkg.in/yaml.v3"
)

// Text reads a non-empty scalar of any type as text. The caller checks its format.
func (r Reader) Text(n *yaml.Node, what string) (string, bool) {
	if !r.checkNoAlias(n) {
		return "", false
	}
	if n.Kind != yaml.ScalarNode || n.ShortTag() == "!!null" || n.Value == "" {
		r.reportf(n, "%s must not be empty and must be a single value", what)
		return "", false
	}
	return n.Value, true
}

// String reads a non-empty string. Numbers and booleans must be quoted, so that a version
// such as 1.10 is not read as 1.1.
func (r Reader) String(n *yaml.Node, what string) (string, bool) {
	text, ok := r.Text(n, what)
	if !ok {
		return "", false
	}
	if n.ShortTag() != "!!str" {
		r.reportf(n, "%s must be a string, put %s in quotes", what, text)
		return "", false
	}
	return text, true
}

// Strings reads a list of distinct strings.
func (r Reader) Strings(n *yaml.Node, what string) []string {
	var list []string
	seen := map[string]bool{}
	for _, item := range r.Items(n, what) {
		text, ok := r.String(item, "an item of "+what)
		if !ok {
			continue
		}
		if seen[text] {
			r.reportf(item, "duplicate %q in %s", text, what)
			continue
		}
		seen[text] = true
		list = append(list, text)
	}
	return list
}

// StringMap reads a mapping of strings to strings.
func (r Reader) StringMap(n *yaml.Node, what string) map[string]string {
	m := map[string]string{}
	r.Entries(n, what, func(key, value *yaml.Node) {
		if text, ok := r.String(value, what+"."+key.Value); ok {
			m[key.Value] = text
		}
	})
	return m
}

// Bool reads true or false.
func (r Reader) Bool(n *yaml.Node, what string) bool {
	var b bool
	if !r.checkNoAlias(n) {
		return false
	}
	if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!bool" || n.Decode(&b) != nil {
		r.reportf(n, "%s must be true or false", what)
	}
	return b
}

// Number reads a finite number within [low, high].
func (r Reader) Number(n *yaml.Node, what string, low, high float64) (float64, bool) {
	text, ok := r.Text(n, what)
	if !ok {
		return 0, false
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) || n.ShortTag() == "!!str" {
		r.reportf(n, "%s must be a number, not %q", what, text)
		return 0, false
	}
	if f < low || f > high {
		r.reportf(n, "%s must be between %g and %g, not %s", what, low, high, text)
		return 0, false
	}
	return f, true
}

// Int reads an integer within [low, high].
func (r Reader) Int(n *yaml.Node, what string, low, high int) (int, bool) {
	text, ok := r.Text(n, what)
	if !ok {
		return 0, false
	}
	i, err := strconv.Atoi(text)
	if err != nil || n.ShortTag() == "!!str" {
		r.reportf(n, "%s must be an integer, not %q", what, text)
		return 0, false
	}
	if i < low || i > high {
		r.reportf(n, "%s must be between %d and %d, not %s", what, low, high, text)
		return 0, false
	}
	return i, true
}

// Duration reads a duration with a unit, such as 5s, within [low, high].
func (r Reader) Duration(n *yaml.Node, what string, low, high time.Duration) (time.Duration, bool) {
	text, ok := r.Text(n, what)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.reportf(n, "%s must be a duration with a unit such as 5s, not %q", what, text)
		return 0, false
	}
	if d < low || d > high {
		r.reportf(n, "%s must be between %s and %s, not %s", what, low, high, text)
		return 0, false
	}
	return d, true
}

// Addr reads an address of the form IP:port. Host names are rejected, because processes connect by
// IP address only.
func (r Reader) Addr(n *yaml.Node, what string) (string, bool) {
	text, ok := r.Text(n, what)
	if !ok {
		return "", false
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		r.reportf(n, "%s must be an IP address and port such as 10.1.0.4:8000, not %q", what, text)
		return "", false
	}
	return a.String(), true
}

// Time reads a time in the format of RFC 3339, with its zone offset.
func (r Reader) Time(n *yaml.Node, what string) (time.Time, bool) {
	text, ok := r.Text(n, what)
	if !ok {
		return time.Time{}, false
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		r.reportf(n, "%s must be a time such as 2027-01-10T02:00:00+09:00, not %q", what, text)
		return time.Time{}, false
	}
	return t, true
}
