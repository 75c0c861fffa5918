// Package enginesapi defines the JSON with which a gateway shows the state of every engine on its metrics address,
// and a client for it.
package enginesapi

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
)

// Path is where a gateway's metrics address serves a Snapshot.
const Path = "/engines"

// Snapshot is the state of all engines as one instance sees them.
type Snapshot struct {
	Instance   fleet.InstanceID `json:"instance"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	At         time.Time        `json:"at"`
	// ConfigVersion is the version of the configuration in force, 0 without one.
	ConfigVersion uint64 `json:"config_version"`
	// FactsAgeMillis is the time since the instance's copy of the store was last known to be current, or -1.
	FactsAgeMillis int64        `json:"facts_age_ms"`
	Evacuations    []Evacuation `json:"evacuated_data_centres"`
	Engines        []Engine     `json:"engines"`
}

// Evacuation is an evacuated data centre.
type Evacuation struct {
	DataCentre fleet.DataCentre `json:"data_centre"`
	Since      time.Time        `json:"since"`
	Revision   string           `json:"revision"`
	Engines    int              `json:"engines"`
}

// Engine is the state of one engine.
type Engine struct {
	ID         fleet.EngineID   `json:"id"`
	Service    fleet.ServiceID  `json:"service"`
	Addr       string           `json:"addr"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Slots      int              `json:"slots"`
	// Revision is that of the registration, StartedAtMillis the wall-clock millisecond of the process's start.
	Revision        string `json:"revision"`
	StartedAtMillis int64  `json:"started_at_ms,omitempty"`
	// Suspended is set if the engine is kept although its registration is missing.
	Suspended bool `json:"suspended,omitempty"`
	// State is that of the first reason, or "usable".
	State   string   `json:"state"`
	Reasons []Reason `json:"reasons"`
	// OwnRequests is the number of requests that the instance runs there, AllRequests the estimated number of all.
	OwnRequests int `json:"own_requests"`
	AllRequests int `json:"all_requests"`
}

// Reason is a state of an engine. What is not known is left out.
type Reason struct {
	State    string     `json:"state"`
	Since    *time.Time `json:"since,omitempty"`
	Until    *time.Time `json:"until,omitempty"`
	Revision string     `json:"revision,omitempty"`
	Detail   string     `json:"detail,omitempty"`
}

// maxResponseBytes bounds a response: 1,600 engines take about 600 KB.
const maxResponseBytes = 16 << 20

// Get asks the gateway whose metrics address is addr, IP:port.
func Get(ctx context.Context, addr string) (Snapshot, error) {
	fault := oops.In("engines").With("addr", addr)
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return Snapshot{}, fault.Errorf("not an address of the form IP:port")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+Path, nil)
	if err != nil {
		return Snapshot{}, fault.Errorf("not an address of the form IP:port")
	}
	response, err := http.DefaultClient.Do(request)
	if errors.Is(err, context.DeadlineExceeded) {
		return Snapshot{}, fault.Errorf("no answer in time")
	}
	if err != nil {
		return Snapshot{}, fault.Wrapf(errors.Unwrap(err), "unreachable")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return Snapshot{}, fault.Wrapf(err, "the response cannot be read")
	}
	if response.StatusCode == http.StatusNotFound {
		return Snapshot{}, fault.Errorf("serves no %s: not a gateway's metrics address, or an older release", Path)
	}
	if response.StatusCode != http.StatusOK {
		return Snapshot{}, fault.Errorf("answered %s: %.200s", response.Status, bytes.TrimSpace(data))
	}
	var s Snapshot
	if err := json.Unmarshal(data, &s); err != nil || s.Instance == "" {
		return Snapshot{}, fault.Errorf("the response is not the expected JSON")
	}
	return s, nil
}
