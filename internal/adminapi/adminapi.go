// Package adminapi defines the admin interface of an instance, by which bilberryctl reads its
// state and its time line, hands it a configuration and drains it. It holds the paths, the JSON
// bodies and a client.
//
// Every request carries the fleet's secret in the header "Authorization: Bearer <secret>".
package adminapi

import (
	"encoding/json"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Paths of the admin listener.
const (
	// PathStatus answers GET with Status.
	PathStatus = "/admin/status"
	// PathTimeline answers GET with a JSON array of events. The query parameter "after" is a
	// sequence number; only later events are returned.
	PathTimeline = "/admin/timeline"
	// PathConfig takes POST with a ConfigRequest and answers with a ConfigResponse.
	PathConfig = "/admin/config"
	// PathDrain takes POST without a body. It answers 202; the instance then drains and exits.
	PathDrain = "/admin/drain"
)

// MaxConfigBytes is the largest request body of PathConfig. Files are base64 strings in its JSON.
const MaxConfigBytes = 64 << 20

// Status is the state of one instance.
type Status struct {
	Instance    fleet.InstanceID `json:"instance"`
	DataCentre  fleet.DataCentre `json:"data_centre"`
	Region      fleet.Region     `json:"region"`
	Incarnation uint64           `json:"incarnation"`
	// Version and PublishID are those of the configuration in force. Version 0 means that there is
	// none.
	Version   uint64   `json:"version"`
	PublishID string   `json:"publish_id"`
	Ready     bool     `json:"ready"`
	Draining  bool     `json:"draining"`
	Peers     []Peer   `json:"peers"`
	Engines   []Engine `json:"engines"`
	// ControlBytesPerSecond is the mean rate of control bytes sent over the last minute: those sent
	// to peers, to the store and to the control interface of engines, without callers' requests.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// Peer is another instance as seen by this one.
type Peer struct {
	Instance   fleet.InstanceID `json:"instance"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Region     fleet.Region     `json:"region"`
	// Linked tells whether a link to the peer is open, Live whether the peer is considered live.
	Linked   bool `json:"linked"`
	Live     bool `json:"live"`
	Draining bool `json:"draining"`
	// Version is the configuration version that the peer last reported.
	Version uint64 `json:"version"`
}

// Engine is an engine as seen by this instance. InFlight, Bound and Queued are exact if this
// instance is the engine's home, otherwise zero.
type Engine struct {
	ID fleet.EngineID `json:"id"`
	// Home is the instance that admits attempts to the engine.
	Home     fleet.InstanceID `json:"home"`
	InFlight int              `json:"in_flight"`
	// Bound is the greatest number of attempts in flight that the home admits.
	Bound int `json:"bound"`
	// Queued is the number of attempts that wait for admission at the home.
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
}

// ConfigRequest is a published bundle for an instance.
type ConfigRequest struct {
	// Manifest is the canonical encoding of a revision.Manifest.
	Manifest []byte `json:"manifest"`
	// Files maps the digests of files to their contents.
	Files map[string][]byte `json:"files"`
}

// ConfigResponse is the result of a ConfigRequest.
type ConfigResponse struct {
	// Outcome is the name of a revision.Outcome, such as "adopted" or "same".
	Outcome string `json:"outcome"`
	// Version is the version in force after the request.
	Version uint64 `json:"version"`
	// Missing lists the digests of files that the request did not contain. The daemon does not set
	// it.
	Missing []string `json:"missing,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// Events are timeline events in their JSON form.
type Events []json.RawMessage
