package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/core"
)

// OutcomeHeader tells a caller whether its failed request ran: not_run, unknown or failed.
const OutcomeHeader = "X-Bilberry-Outcome"

// callerError is an error response to a caller.
type callerError struct {
	Status     int
	Kind       core.FailureKind
	Code       string
	Message    string
	RetryAfter time.Duration
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind    core.FailureKind `json:"kind"`
	Code    string           `json:"code"`
	Message string           `json:"message"`
}

func (e callerError) body() errorBody {
	return errorBody{Error: errorDetail{Kind: e.Kind, Code: e.Code, Message: e.Message}}
}

// notRunError returns the error for a request that is refused before it is sent to an engine.
func notRunError(status int, code, message string) callerError {
	return callerError{Status: status, Kind: core.FailureNotRun, Code: code, Message: message}
}

// writeError writes an error as JSON with its outcome header.
func writeError(w http.ResponseWriter, e callerError) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(OutcomeHeader, string(e.Kind))
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
	// A write fails when the caller has disconnected; it can't be told about the error then.
	_ = json.NewEncoder(w).Encode(e.body())
}

// failureStatus returns the HTTP status of a failure.
func failureStatus(f core.FailRequest) int {
	switch f.Code {
	case core.CodeRateLimited:
		return http.StatusTooManyRequests
	case core.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case core.CodeKeyReused:
		return http.StatusUnprocessableEntity
	case core.CodeUnknownService:
		return http.StatusNotFound
	}
	if f.Kind == core.FailureNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func newCallerError(f core.FailRequest) callerError {
	return callerError{
		Status:     failureStatus(f),
		Kind:       f.Kind,
		Code:       f.Code,
		Message:    f.Message,
		RetryAfter: f.RetryAfter,
	}
}
