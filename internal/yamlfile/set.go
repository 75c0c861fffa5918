package yamlfile

import (
	"time"

	"gopkg.in/yaml.v3"
)

// SetString returns a function that reads a string into dst. An invalid value is reported and sets
// dst to the empty string.
func SetString[T ~string](r *Reader, what string, dst *T) func(*yaml.Node) {
	return func(n *yaml.Node) {
		text, _ := r.String(n, what)
		*dst = T(text)
	}
}

// SetAddr returns a function that reads an address of the form IP:port into dst. An invalid value is
// reported and sets dst to the empty string.
func (r *Reader) SetAddr(what string, dst *string) func(*yaml.Node) {
	return func(n *yaml.Node) { *dst, _ = r.Addr(n, what) }
}

// SetDuration returns a function that reads a duration within [low, high] into dst. An invalid value
// is reported and leaves dst unchanged.
func (r *Reader) SetDuration(what string, dst *time.Duration, low, high time.Duration) func(*yaml.Node) {
	return func(n *yaml.Node) {
		if d, ok := r.Duration(n, what, low, high); ok {
			*dst = d
		}
	}
}

// SetNumber returns a function that reads a number within [low, high] into dst. An invalid value is
// reported and leaves dst unchanged.
func (r *Reader) SetNumber(what string, dst *float64, low, high float64) func(*yaml.Node) {
	return func(n *yaml.Node) {
		if f, ok := r.Number(n, what, low, high); ok {
			*dst = f
		}
	}
}

// SetInt returns a function that reads an integer within [low, high] into dst. An invalid value is
// reported and leaves dst unchanged.
func (r *Reader) SetInt(what string, dst *int, low, high int) func(*yaml.Node) {
	return func(n *yaml.Node) {
		if i, ok := r.Int(n, what, low, high); ok {
			*dst = i
		}
	}
}
