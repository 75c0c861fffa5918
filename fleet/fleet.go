// Package fleet defines the identifier types shared by all packages.
//
// Identifiers are opaque strings taken from settings and published files. Keys are 64-bit hashes,
// which keep peer messages and per-chat tables small.
package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// InstanceID names one instance: a daemon on one machine. It stays the same over restarts.
type InstanceID string

// EngineID names one back end: a model engine or a replica of a plain service.
type EngineID string

// EngineVersion is the version of the software that an engine runs, as it registered it; empty if it registered none.
type EngineVersion string

// CustomerID names a customer.
type CustomerID string

// ServiceID names a service, which is a pool of engines.
type ServiceID string

// DataCentre names a data centre.
type DataCentre string

// Region names a region, a group of data centres.
type Region string

// AttemptID identifies one attempt to run a request on one engine. It is unique in the fleet.
type AttemptID string

// EngineTag is a short hash of an engine's ID for messages that name many engines. Of 3,000 fleets
// with 1,600 engines, one is expected to have two engines with the same tag. Each of the two then
// counts the other's load as its own.
type EngineTag uint32

// TagOf returns the tag of an engine.
func TagOf(id EngineID) EngineTag { return EngineTag(Hash("engine", string(id))) }

// ChatKey is the hash of a customer and a conversation id.
type ChatKey uint64

// Fingerprint is the hash of the parts of a request that determine what an engine runs.
type Fingerprint uint64

// Hash returns the 64-bit hash of parts. Each part is preceded by its length, so that
// different splits of the same bytes have different hashes.
func Hash(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var size [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(part)
	}
	return d.Sum64()
}

// ChatKeyOf returns the key of a conversation of a customer.
func ChatKeyOf(customer CustomerID, conversation string) ChatKey {
	return ChatKey(Hash("chat", string(customer), conversation))
}
