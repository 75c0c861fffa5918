package whereapi

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/samber/oops"
)

// MaxRequestBytes bounds the JSON of a Request. The metrics address has no other bound on memory.
const MaxRequestBytes = 1 << 20

// Request describes the request of a caller. The API key is among the headers.
type Request struct {
	// Method is POST if empty.
	Method string `json:"method,omitempty"`
	Host   string `json:"host"`
	// Path is that of the request line, undecoded, with the query if there is one.
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers,omitempty"`
	// Body is the request's body. With the same one a request is recognised as repeated, or as one that crashes engines.
	Body string `json:"body,omitempty"`
}

// ReadRequest reads the JSON of a Request. Errors name the place of a fault and never a value, which may be an API key.
func ReadRequest(from io.Reader) (Request, error) {
	fault := oops.In("where")
	data, err := io.ReadAll(io.LimitReader(from, MaxRequestBytes+1))
	if err != nil {
		return Request{}, fault.Errorf("the body cannot be read")
	}
	if len(data) > MaxRequestBytes {
		return Request{}, fault.Errorf("the body is longer than %d bytes", MaxRequestBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var q Request
	if err := decoder.Decode(&q); err != nil {
		return Request{}, fault.Wrap(describe(err, decoder.InputOffset(), len(data)))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Request{}, fault.Errorf("byte %d: more than one JSON value", decoder.InputOffset())
	}
	return q, q.Check()
}

// describe returns the place of a fault in JSON of a length, of which the decoder has read up to offset. The text of err
// may hold a value.
func describe(err error, offset int64, length int) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return oops.Errorf("byte %d: not valid JSON", syntax.Offset)
	case errors.As(err, &wrongType):
		return oops.Errorf("%s: byte %d: must be of type %s", cmp.Or(wrongType.Field, "the body"), wrongType.Offset, wrongType.Type)
	case errors.Is(err, io.EOF):
		return oops.Errorf("byte 0: the body is empty")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return oops.Errorf("byte %d: the JSON is incomplete", length)
	}
	// What is left are unknown fields.
	return oops.Errorf("byte %d: unknown field; there are method, host, path, headers and body", offset)
}

// Check returns the first fault of a request.
func (q Request) Check() error {
	fault := oops.In("where")
	switch {
	case q.Host == "":
		return fault.Errorf("host: is empty")
	case strings.ContainsFunc(q.Host, isBlankOrControl) || strings.ContainsAny(q.Host, "/?#@"):
		return fault.Errorf("host: is not a host")
	case !strings.HasPrefix(q.Path, "/"):
		return fault.Errorf("path: does not begin with a slash")
	case strings.ContainsFunc(q.Path, isBlankOrControl):
		return fault.Errorf("path: has a space or a control character")
	case q.Method != "" && !isToken(q.Method):
		return fault.Errorf("method: is not a method")
	}
	seen := map[string]bool{}
	for i, name := range slices.Sorted(maps.Keys(q.Headers)) {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		switch {
		case !isToken(name):
			// The name may hold what belongs into the value.
			return fault.Errorf("headers: the name at place %d in alphabetical order is not a header's name", i+1)
		case strings.ContainsFunc(q.Headers[name], func(c rune) bool { return c != '\t' && isControl(c) }):
			return fault.Errorf("headers.%s: the value has a control character", name)
		case seen[canonical]:
			return fault.Errorf("headers.%s: is named twice", canonical)
		}
		seen[canonical] = true
	}
	return nil
}

func isControl(c rune) bool { return c < ' ' || c == 0x7f }

func isBlankOrControl(c rune) bool { return c == ' ' || isControl(c) }

// isToken reports whether a text is a token of HTTP, as the names of headers and methods are.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool {
		letterOrDigit := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		return !letterOrDigit && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	})
}

// Header returns the headers.
func (q Request) Header() http.Header {
	header := make(http.Header, len(q.Headers))
	for name, value := range q.Headers {
		header.Set(name, strings.TrimSpace(value))
	}
	return header
}
