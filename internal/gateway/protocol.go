package gateway

import (
	"net/http"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
)

// Protocol translates the headers of callers and engines.
type Protocol interface {
	// ReadinessPath is the path that the balancer asks.
	ReadinessPath() string
	// ReadCall decodes what a request says of itself.
	ReadCall(header http.Header) CallHead
	// WriteAttempt turns a caller's headers, which it may change, into those of an attempt.
	WriteAttempt(header http.Header, a AttemptHead)
	// ReadAnswer decodes the head of an engine's answer.
	ReadAnswer(res *http.Response) AnswerHead
}

// CallHead is what a caller's request says of itself.
type CallHead struct {
	// ID names the caller's attempt; engines echo it.
	ID     string
	APIKey string
	// Patience is the time that the caller waits; 0 if it did not say.
	Patience time.Duration
	// Prompt is the hash of the part of the prompt that other requests share; 0 without one.
	Prompt fleet.ChatKey
	// LastEvent is the id of the last event that the caller has of a stream.
	LastEvent string
}

// AttemptHead is what an attempt says beside the caller's own headers.
type AttemptHead struct {
	// Engine is the only engine that may run the attempt.
	Engine fleet.EngineID
	// Customer is empty on anonymous routes.
	Customer fleet.CustomerID
	// Left is the time in which the answer is still of use.
	Left time.Duration
	// Urgency ranks the request at its engine; 0 is the most urgent. Ranked tells that the engine knows it.
	Urgency int
	Ranked  bool
	// FetchFrom is the address of an engine that holds the prompt's cache, or empty.
	FetchFrom string
	// LastEvent is the id after which a stream goes on, or empty.
	LastEvent string
}

// AnswerHead is what the head of an engine's answer tells.
type AnswerHead struct {
	// ID is the caller's attempt that the answer belongs to, or empty.
	ID string
	// Signed tells that the engine vouches for the answer.
	Signed bool
	// NotRun tells that the engine did not begin to run the request, and Misdirected that it is
	// not the engine that the attempt was meant for.
	NotRun      bool
	Misdirected bool
	// Load is the engine's load, or nil.
	Load *placement.Load
}
