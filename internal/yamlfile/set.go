package yamlfile

import (
	"time"

	"gopkg.in/yaml.v3"
)

// SetString returns a reader of a field into to. A wrong value is reported and sets the zero value.
func SetString[T ~string](r *Reader, what string, to *T) func(*yaml.Node) {
	return func(n *yaml.Node) {
		text, _ := r.String(n, what)
		*to = T(text)
	}
}

// SetAddr returns a reader of an address of the form IP:port into to. A wrong value is reported
// and sets the empty string.
func (r *Reader) SetAddr(what string, to *string) func(*yaml.Node) {
	return func(n *yaml.Node) { *to, _ = r.Addr(n, what) }
}

// SetDuration returns a reader of a duration within [low, high] into to, which keeps its value when
// another is reported.
func (r *Reader) SetDuration(what string, to *time.Duration, low, high time.Duration) func(*yaml.Node) {
	return func(n *yaml.Node) {
		if d, ok := r.Duration(n, what, low, high); ok {
			*to = d
		}
	}
}

// SetNumber returns a reader of a number within [low, high] into to, which keeps its value when
// another is reported.
func (r *Reader) SetNumber(what string, to *float64, low, high float64) func(*yaml.Node) {
	return func(n *yaml.Node) {
		if f, ok := r.Number(n, what, low, high); ok {
			*to = f
		}
	}
}

// SetInt returns a reader of an integer within [low, high] into to, which keeps its value when
// another is reported.
func (r *Reader) SetInt(what string, to *int, low, high int) func(*yaml.Node) {
	return func(n *yaml.Node) {
		if i, ok := r.Int(n, what, low, high); ok {
			*to = i
		}
	}
}
