// Package config reads operators' YAML files, checks them and compiles them into a Snapshot.
//
// Operators keep short files beside each service's code. Each file holds any of the sections
// services, engines, customers, priorities, stops and limits. All files of a bundle are
// checked together, and all faults are reported at once, each with its file, line and column.
package config

import (
	"path"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Kind is the kind of a service.
type Kind string

const (
	// KindChat is a service of model engines with streamed answers.
	KindChat Kind = "chat"
	// KindPlain is a service whose method, body and status are passed through unchanged.
	KindPlain Kind = "plain"
)

// Defaults of fields that files may leave out.
const (
	DefaultCapacity     = 1.0
	DefaultSlots        = 64
	DefaultTimeout      = 2 * time.Minute
	DefaultStallTimeout = 5 * time.Second
	DefaultWeight       = 1.0
	// DefaultPriority is the name of the priority of customers that specify none. Files may define it.
	DefaultPriority             = "default"
	DefaultClass                = 1
	DefaultMaxQueue             = 10 * time.Second
	DefaultLoadBound            = 1.25
	DefaultWeightLoadsPerSecond = 1.0
	DefaultMaxPoolChange        = 0.25
	DefaultQueueLength          = 256
)

// Snapshot is a compiled bundle. It is read-only after Compile.
type Snapshot struct {
	Services  map[fleet.ServiceID]*Service
	Customers map[fleet.CustomerID]*Customer
	// KeyDigests maps the lowercase hex SHA-256 of an API key to its customer.
	KeyDigests map[string]fleet.CustomerID
	Priorities map[string]Priority
	// Stops are sorted by time, then by engine and instance.
	Stops  []Stop
	Limits Limits
}

// Service is a pool of engines that callers address by its name.
type Service struct {
	ID   fleet.ServiceID
	Kind Kind
	// Model, Version, Role and Adapters are the state that a chat engine should have.
	Model    string
	Version  string
	Role     string
	Adapters []string
	// Engines are sorted by ID. An engine belongs to one service.
	Engines []Engine
	// NonIdempotent lists the calls that may run at most once.
	NonIdempotent []CallPattern
	// Resume is set if engines can continue a broken stream of another engine.
	Resume bool
	// Timeout limits a whole request, StallTimeout the time without progress.
	Timeout      time.Duration
	StallTimeout time.Duration
}

// CallPattern matches calls by method and path prefix.
type CallPattern struct {
	// Method is an upper-case HTTP method, or * for all.
	Method string
	// Path matches itself and everything below it: /orders matches /orders and /orders/7,
	// and does not match /orders-report.
	Path string
}

// IsNonIdempotent reports whether a call may run at most once. callPath is the decoded path below
// the service's root. Dot segments and double slashes are resolved first, because an engine
// may resolve them too.
func (s *Service) IsNonIdempotent(method, callPath string) bool {
	cleanPath := path.Clean("/" + callPath)
	for _, p := range s.NonIdempotent {
		if p.matches(method, cleanPath) {
			return true
		}
	}
	return false
}

func (p CallPattern) matches(method, cleanPath string) bool {
	if p.Method != "*" && !strings.EqualFold(p.Method, method) {
		return false
	}
	prefix := strings.TrimSuffix(p.Path, "/")
	return cleanPath == prefix || strings.HasPrefix(cleanPath, prefix+"/")
}

// Engine is one back end of a service.
type Engine struct {
	ID fleet.EngineID
	// Addr is IP:port.
	Addr       string
	DataCentre fleet.DataCentre
	Region     fleet.Region
	// Capacity is the engine's share of its pool's load relative to the pool's other engines.
	Capacity float64
	// Slots is the number of concurrent requests that the engine accepts.
	Slots int
	// ChecksFencing is set if the engine refuses orders with an old fencing number.
	ChecksFencing bool
	// ChecksIdempotencyKeys is set if the engine itself runs a call with a repeated key only once.
	ChecksIdempotencyKeys bool
	// KVTransfer is set if the engine exports and imports its KV cache.
	KVTransfer bool
	// ReportsLoad is set if the engine publishes load reports and cache events.
	ReportsLoad bool
	Labels      map[string]string
}

// Customer is one customer of the fleet.
type Customer struct {
	ID fleet.CustomerID
	// Weight is the customer's share of a contended engine relative to other customers.
	Weight float64
	// RatePerSecond limits the fleet-wide request rate, Burst the number of requests at once.
	RatePerSecond float64
	Burst         float64
	// Priority is the name of the priority of the customer's requests.
	Priority string
	// Services lists the services that the customer may call. Empty means all.
	Services []fleet.ServiceID
}

// Priority is a class of requests.
type Priority struct {
	Name string
	// Class is the order in which queued requests are served; 0 is the most urgent.
	Class int
	// MaxQueue is the longest time that a request waits in a queue.
	MaxQueue time.Duration
	// Deadline is the time of day by which queued work must be done, or nil.
	Deadline *TimeOfDay
}

// TimeOfDay is a wall-clock time in a zone.
type TimeOfDay struct {
	Hour, Minute int
	// Zone is an IANA zone name.
	Zone string
	// Location is the loaded zone.
	Location *time.Location `json:"-"`
}

// Next returns the first occurrence of the time of day after t.
func (d TimeOfDay) Next(t time.Time) time.Time {
	local := t.In(d.Location)
	year, month, day := local.Date()
	next := time.Date(year, month, day, d.Hour, d.Minute, 0, 0, d.Location)
	if !next.After(t) {
		next = time.Date(year, month, day+1, d.Hour, d.Minute, 0, 0, d.Location)
	}
	return next
}

// Stop is a planned stop of an engine or an instance. Exactly one of Engine and Instance is set.
type Stop struct {
	Engine   fleet.EngineID
	Instance fleet.InstanceID
	At       time.Time
	For      time.Duration
}

// ActiveAt reports whether the stop covers t.
func (s Stop) ActiveAt(t time.Time) bool {
	return !t.Before(s.At) && t.Before(s.At.Add(s.For))
}

// Limits are fleet-wide limits.
type Limits struct {
	// LoadBound is the load bound: the highest load of an engine as a multiple of its pool's mean.
	LoadBound float64
	// WeightLoadsPerSecond limits the fleet-wide rate at which engines load model weights from the
	// weight store.
	WeightLoadsPerSecond float64
	// MaxPoolChange is the largest fraction of a pool's capacity that orders may make unavailable at
	// once.
	MaxPoolChange float64
	// QueueLength is the largest number of requests that wait for one engine.
	QueueLength int
}

// Allows reports whether the customer may call a service.
func (c *Customer) Allows(id fleet.ServiceID) bool {
	return len(c.Services) == 0 || slices.Contains(c.Services, id)
}

// ChatServices returns the chat services that serve a model, sorted by ID.
func (s *Snapshot) ChatServices(model string) []*Service {
	var list []*Service
	for _, service := range s.Services {
		if service.Kind == KindChat && service.Model == model {
			list = append(list, service)
		}
	}
	slices.SortFunc(list, func(a, b *Service) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
