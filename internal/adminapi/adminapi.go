// Package adminapi defines the daemon's admin interface: paths, JSON bodies and a client.
//
// Every call carries the fleet's secret in the header "Authorization: Bearer <secret>".
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
	// PathConfig takes POST with ConfigRequest and answers ConfigAnswer.
	PathConfig = "/admin/config"
	// PathDrain takes POST without a body. The instance drains and exits; the answer is 202.
	PathDrain = "/admin/drain"
)

// MaxConfigBytes is the largest body of PathConfig. Files are base64 in JSON.
const MaxConfigBytes = 64 << 20

// Status is the state of one instance.
type Status struct {
	Instance    fleet.InstanceID `json:"instance"`
	DataCentre  fleet.DataCentre `json:"data_centre"`
	Region      fleet.Region     `json:"region"`
	Incarnation uint64           `json:"incarnation"`
	// Version and PublishID belong to the configuration in force. Version zero means none.
	Version   uint64   `json:"version"`
	PublishID string   `json:"publish_id"`
	Ready     bool     `json:"ready"`
	Draining  bool     `json:"draining"`
	Peers     []Peer   `json:"peers"`
	Engines   []Engine `json:"engines"`
	// ControlBytesPerSecond is the mean rate of control messages sent over the last minute.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// Peer is another instance as seen by this one.
type Peer struct {
	Instance   fleet.InstanceID `json:"instance"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	Region     fleet.Region     `json:"region"`
	// Linked tells whether a link is open; Live whether the peer counts as live.
	Linked   bool `json:"linked"`
	Live     bool `json:"live"`
	Draining bool `json:"draining"`
	// Version is the configuration version that the peer last told.
	Version uint64 `json:"version"`
}

// Engine is an engine as seen by this instance. InFlight, Bound and Queued are exact when this
// instance is the engine's home, else zero.
type Engine struct {
	ID       fleet.EngineID   `json:"id"`
	Home     fleet.InstanceID `json:"home"`
	InFlight int              `json:"in_flight"`
	Bound    int              `json:"bound"`
	Queued   int              `json:"queued"`
	Draining bool             `json:"draining"`
}

// ConfigRequest hands a published bundle to an instance.
type ConfigRequest struct {
	// Manifest is the canonical encoding of a revision.Manifest.
	Manifest []byte `json:"manifest"`
	// Files maps digests to contents.
	Files map[string][]byte `json:"files"`
}

// ConfigAnswer is the result of a ConfigRequest.
type ConfigAnswer struct {
	// Outcome is the name of a revision.Outcome, such as "adopted" or "same".
	Outcome string `json:"outcome"`
	// Version is the version in force afterwards.
	Version uint64 `json:"version"`
	// Missing lists digests that the request lacked.
	Missing []string `json:"missing,omitempty"`
	Error   string   `json:"error,omitempty"`
}

// Events are timeline events in their JSON form.
type Events []json.RawMessage
