package daemon

import (
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/settings"
)

// presence is the daemon's row in the list of instances.
type presence struct {
	row platform.Instance
	key *platform.Presence
}

func newPresence(keys platform.Keyspace, s settings.Settings) (*presence, error) {
	row := platform.Instance{
		ID: s.Instance, PeerAddr: s.PeerAdvertise, AdminAddr: s.AdminAdvertise,
		DataCentre: s.DataCentre, Region: s.Region,
	}
	key, value, err := platform.InstanceEntry(row)
	if err != nil {
		return nil, oops.In("daemon").Wrapf(err, "encode the instance's row")
	}
	return &presence{row: row, key: platform.NewPresence(keys, key, value)}, nil
}

// leave marks the row of an instance that is about to stop.
func (p *presence) leave() {
	row := p.row
	row.Leaving = true
	_, value, err := platform.InstanceEntry(row)
	if err != nil {
		klog.ErrorS(err, "row not marked as leaving", "instance", row.ID)
		return
	}
	p.key.Set(value)
}
