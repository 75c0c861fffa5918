package daemon

import (
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/settings"
)

// presence is the instance's own entry in the platform's list of instances.
type presence struct {
	entry platform.Instance
	// writer keeps the encoded entry in the store.
	writer *platform.Presence
}

func newPresence(keys platform.Keyspace, s settings.Settings) (*presence, error) {
	entry := platform.Instance{
		ID: s.Instance, PeerAddr: s.PeerAdvertiseAddr, AdminAddr: s.AdminAdvertiseAddr,
		DataCentre: s.DataCentre, Region: s.Region,
	}
	key, value, err := platform.InstanceEntry(entry)
	if err != nil {
		return nil, oops.In("daemon").Wrapf(err, "encode the instance's entry")
	}
	return &presence{entry: entry, writer: platform.NewPresence(keys, key, value)}, nil
}

// markLeaving marks the entry as that of an instance that is about to stop.
func (p *presence) markLeaving() {
	entry := p.entry
	entry.Leaving = true
	_, value, err := platform.InstanceEntry(entry)
	if err != nil {
		klog.ErrorS(err, "the instance's entry is not marked as leaving", "instance", entry.ID)
		return
	}
	p.writer.Set(value)
}
