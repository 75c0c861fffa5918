package gateway

import (
	"net/http"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/placement"
)

// Protocol translates between the platform's HTTP headers and the values that the gateway uses.
type Protocol interface {
	// ReadinessPath returns the path of the balancer's readiness check.
	ReadinessPath() string
	// ReadCall decodes the header of a caller's request.
	ReadCall(header http.Header) CallHead
	// WriteAttempt changes a caller's header in place into that of an attempt.
	WriteAttempt(header http.Header, a AttemptHead)
	// ReadResponse decodes the header of an engine's response.
	ReadResponse(res *http.Response) ResponseHead
}

// CallHead holds the values in the header of a caller's request.
type CallHead struct {
	// ID identifies the caller's attempt; engines echo it.
	ID     string
	APIKey string
	// CallerTimeout is how long the caller waits for a response; 0 if it did not say.
	CallerTimeout time.Duration
	// Prompt is the hash of the part of the prompt that other requests share; 0 without one.
	Prompt fleet.ChatKey
	// PromptParts holds the hashes of the parts of the prompt that other requests may share, in order.
	PromptParts []fleet.Fingerprint
	// LastEvent is the id of the last event of a stream that the caller has received.
	LastEvent string
	// Stream is the ID of the caller's attempt that received the first event of that stream, or empty if the caller did
	// not say.
	Stream string
	// Tokens holds the tokens of the prompt and the output; zero if the caller did not say.
	Tokens placement.Tokens
}

// AttemptHead holds the values that an attempt adds to the caller's header.
type AttemptHead struct {
	// Engine is the only engine that may run the attempt.
	Engine fleet.EngineID
	// Customer is empty on anonymous routes.
	Customer fleet.CustomerID
	// TimeLeft is the time until the response is too late.
	TimeLeft time.Duration
	// Urgency ranks the request at its engine; 0 is the most urgent. AcceptsUrgency reports whether the
	// engine accepts an urgency.
	Urgency        int
	AcceptsUrgency bool
	// FetchFrom is the address of an engine that holds the prompt's cache, or empty.
	FetchFrom string
	// LastEvent is the id of the event after which the stream is resumed, or empty.
	LastEvent string
}

// ResponseHead holds the values in the header of an engine's response.
type ResponseHead struct {
	// ID identifies the caller's attempt that the response belongs to, or is empty.
	ID string
	// Signed reports whether the response has the engine's signature, which confirms a success.
	Signed bool
	// NotRun reports that the engine did not begin to run the request, and Misdirected that the attempt
	// was addressed to another engine.
	NotRun      bool
	Misdirected bool
	// Load is the load that the engine reported, or nil.
	Load *placement.Load
	// RateLimit is the number of requests a second that the engine accepts from all instances together, or
	// nil if it names no limit.
	RateLimit *float64
	// Leaving reports whether the engine says that it leaves.
	Leaving bool
	// QuietFor is how long the engine that rejects the request wants none from this instance.
	QuietFor time.Duration
	// ColdFor is how much longer the engine says that it stays cold, or nil if it does not say.
	ColdFor *time.Duration
	// UnusableValue describes a value that does not follow the format, for logs; empty without one.
	UnusableValue string
}
