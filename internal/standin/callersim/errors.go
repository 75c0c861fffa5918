package callersim

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
)

// maxDetailBytes bounds the part of an error response's body that is kept in a result.
const maxDetailBytes = 512

// connectionKind returns Unreachable for a refused connection, over which nothing was sent, and
// Broken for any other connection error.
func connectionKind(err error) Kind {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Unreachable
	}
	return Broken
}

// errorKind returns the kind that an error response states in its headers or its body, and the
// status and body as text. An engine that is called directly states only whether it ran the
// request.
func errorKind(response *http.Response) (Kind, string) {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
	detail := strconv.Itoa(response.StatusCode) + " " + strings.TrimSpace(string(text))
	if kind := response.Header.Get(OutcomeHeader); kind != "" {
		return Kind(kind), detail
	}
	if response.Header.Get(enginesim.NotRunHeader) == "true" {
		return NotRun, detail
	}
	var body struct {
		Kind Kind `json:"kind"`
	}
	if json.Unmarshal(text, &body) == nil && body.Kind != "" {
		return body.Kind, detail
	}
	return Failed, detail
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
