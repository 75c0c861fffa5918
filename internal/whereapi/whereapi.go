// Package whereapi defines the JSON with which a gateway explains, on its metrics address, where a request would go now,
// and a client for it.
package whereapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/enginesapi"
)

// Path is where a gateway's metrics address answers a POST of a Request with an Answer.
const Path = "/where"

// Answer says what would become of a request that arrives now at one instance, and why. It never holds an API key.
type Answer struct {
	Instance   fleet.InstanceID `json:"instance"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	At         time.Time        `json:"at"`
	// ConfigVersion is the version of the configuration in force, 0 without one.
	ConfigVersion uint64 `json:"config_version"`
	Call          Call   `json:"request"`
	// Route is left out if none matches.
	Route *Route `json:"route,omitempty"`
	// Result is "send", "ask", "wait", "await_configuration" or "refuse". One of the following fields belongs to it; Wait
	// also to refusals because a request can't be served in time.
	Result  string   `json:"result"`
	Choice  *Choice  `json:"choice,omitempty"`
	Wait    *Wait    `json:"wait,omitempty"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// MeanLoad is that of the engines in service.
	MeanLoad   float64     `json:"mean_load"`
	Candidates []Candidate `json:"candidates"`
}

// Call is the request as the gateway reads it.
type Call struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Customer is the name of the API key's customer, empty without one.
	Customer fleet.CustomerID `json:"customer,omitempty"`
	Urgency  int              `json:"urgency"`
	// Prompt is the hash of the shared part of the prompt that decides, PromptParts those of all shared parts, as in logs.
	Prompt          string   `json:"prompt,omitempty"`
	PromptParts     []string `json:"prompt_parts,omitempty"`
	PromptTokens    int      `json:"prompt_tokens,omitempty"`
	OwnTokens       int      `json:"own_tokens,omitempty"`
	TimeLimitMillis int64    `json:"time_limit_ms,omitempty"`
}

// Route is a route, and the service that it gives the request to.
type Route struct {
	Name    string          `json:"name"`
	Kind    string          `json:"kind"`
	Service fleet.ServiceID `json:"service,omitempty"`
}

// Choice is the chosen engine.
type Choice struct {
	Engine fleet.EngineID `json:"engine"`
	// Reason is that of the log message attempt_sent.
	Reason string `json:"reason"`
	// FetchFrom is the address of the engine that has the prompt cached, Owner the instance that has to admit the request.
	FetchFrom string           `json:"fetch_from,omitempty"`
	Owner     fleet.InstanceID `json:"owner,omitempty"`
}

// Wait is what a request that waits may expect.
type Wait struct {
	Ahead          int     `json:"ahead"`
	TurnsPerSecond float64 `json:"turns_per_s"`
	ExpectedMillis int64   `json:"expected_ms"`
	// LongestMillis is the longest wait for a configuration.
	LongestMillis int64 `json:"longest_ms,omitempty"`
}

// Refusal is the gateway's own response.
type Refusal struct {
	Status int    `json:"status"`
	Code   string `json:"code"`
	// NotRun reports whether the response promises that the request has not run.
	NotRun bool `json:"not_run"`
	// RetryAfterFromMillis and RetryAfterToMillis bound the Retry-After, which is drawn at random between them. Both are
	// 0 without one.
	RetryAfterFromMillis int64 `json:"retry_after_from_ms"`
	RetryAfterToMillis   int64 `json:"retry_after_to_ms"`
}

// Candidate is an engine of the service, in the order of the prompt if there is one.
type Candidate struct {
	ID         fleet.EngineID   `json:"id"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Rank is the place in the order of the prompt, from 1; 0 without a prompt.
	Rank  int `json:"rank,omitempty"`
	Slots int `json:"slots"`
	Load  int `json:"load"`
	// LoadBound is the load from which the engine is passed over; 0 without a prompt. Cost is the expected wait by which
	// requests without a prompt are placed.
	LoadBound int     `json:"load_bound,omitempty"`
	Cost      float64 `json:"cost,omitempty"`
	// ReadsTokens is the number of the prompt's tokens that the engine lacks in its cache, UnreadTokens that of others
	// that it is still to read. FirstEventMillis is the expected time to the first event, -1 if unknown.
	ReadsTokens      int   `json:"reads_tokens,omitempty"`
	UnreadTokens     int   `json:"unread_tokens,omitempty"`
	FirstEventMillis int64 `json:"first_event_ms"`
	// States are those of GET /engines. Excluded lists why the engine can't get the request now, Skipped why the first
	// search passes over it.
	States   []enginesapi.Reason `json:"states"`
	Excluded []string            `json:"excluded"`
	Skipped  string              `json:"skipped,omitempty"`
}

// maxResponseBytes bounds a response: 1,600 engines take about 340 KB.
const maxResponseBytes = 16 << 20

// Ask asks the gateway whose metrics address is addr, IP:port.
func Ask(ctx context.Context, addr string, q Request) (Answer, error) {
	fault := oops.In("where").With("addr", addr)
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return Answer{}, fault.Errorf("not an address of the form IP:port")
	}
	body, err := json.Marshal(q)
	if err != nil {
		return Answer{}, fault.Wrapf(err, "the request cannot be encoded")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, fault.Errorf("not an address of the form IP:port")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if errors.Is(err, context.DeadlineExceeded) {
		return Answer{}, fault.Errorf("no answer in time")
	}
	if err != nil {
		return Answer{}, fault.Wrapf(errors.Unwrap(err), "unreachable")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return Answer{}, fault.Wrapf(err, "the response cannot be read")
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return Answer{}, fault.Errorf("serves no %s: not a gateway's metrics address, or an older release", Path)
	default:
		return Answer{}, fault.Errorf("answered %s: %.200s", response.Status, bytes.TrimSpace(data))
	}
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil || a.Instance == "" || a.Result == "" {
		return Answer{}, fault.Errorf("the response is not the expected JSON")
	}
	return a, nil
}
