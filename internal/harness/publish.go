package harness

import (
	"fmt"
	"strings"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/revision"
)

// PublishNow writes files to the store as the next version, without delay, and returns the
// version. It panics when the files are invalid, since that is a mistake in the test.
func (h *Harness) PublishNow(files map[string][]byte) uint64 {
	if _, findings := config.Compile(files); len(findings) > 0 {
		panic(findings.String())
	}
	head := h.Store.Entry(revision.HeadKey)
	version := uint64(1)
	if head.Revision > 0 {
		manifest, err := revision.Decode(head.Value)
		if err != nil {
			panic(err)
		}
		version = manifest.Version + 1
	}
	for _, content := range files {
		_, _ = h.Store.Put(revision.BlobKey(revision.Digest(content)), content, 0)
	}
	manifest := revision.Manifest{
		Version:            version,
		PublishID:          fmt.Sprintf("publish-%d", version),
		Files:              revision.Digests(files),
		PublishedUnixMilli: h.WallTime().UnixMilli(),
		Publisher:          "harness",
	}
	if _, err := h.Store.Put(revision.HeadKey, manifest.Encode(), head.Revision); err != nil {
		panic(err)
	}
	return version
}

// ServiceFile describes the configuration file of one service.
type ServiceFile struct {
	ID fleet.ServiceID
	// Plain makes the service a plain one with a non-idempotent POST. Otherwise it is a chat service.
	Plain   bool
	Engines []EngineRow
	// ExtraLines holds further YAML lines of the service, each indented by four spaces.
	ExtraLines string
}

// EngineRow is one engine in a ServiceFile.
type EngineRow struct {
	ID         fleet.EngineID
	DataCentre fleet.DataCentre
	Region     fleet.Region
	Slots      int
	Capacity   float64
	// Flags holds further YAML fields, such as "kv_transfer: true".
	Flags string
}

// YAML returns the content of the file.
func (s ServiceFile) YAML() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "services:\n  %s:\n", s.ID)
	if s.Plain {
		b.WriteString("    kind: plain\n    non_idempotent:\n      - {method: POST, path: /}\n")
	} else {
		fmt.Fprintf(&b, "    kind: chat\n    model: %s\n    resume: true\n", s.ID)
	}
	b.WriteString(s.ExtraLines)
	b.WriteString("    engines:\n")
	for i, e := range s.Engines {
		flags := e.Flags
		if flags != "" {
			flags = ", " + flags
		}
		fmt.Fprintf(&b, "      - {id: %s, addr: \"127.0.0.1:%d\", data_centre: %s, region: %s, slots: %d, capacity: %g, reports_load: true%s}\n",
			e.ID, 10000+i+int(fleet.Hash(string(s.ID))%20000), e.DataCentre, e.Region, e.Slots, max(e.Capacity, 1), flags)
	}
	return []byte(b.String())
}

// Customers returns a configuration file with n customers named c0 to c(n-1). Each has the
// given rate, and the same number as its burst.
func Customers(n int, rate float64) []byte {
	var b strings.Builder
	b.WriteString("customers:\n")
	for i := range n {
		fmt.Fprintf(&b, "  c%d: {rate: %g, burst: %g, keys: [%064x]}\n", i, rate, rate, i+1)
	}
	return []byte(b.String())
}
