package peer

import "github.com/bilberrywell/bilberrywell/internal/wire"

// class is a priority class of messages. Lower values are served first.
type class uint8

const (
	classAdmission class = iota
	classClaims
	classQuarantine
	classConfiguration
	classHeartbeat
	classTimeline
	classes
)

// classOf returns the class of a kind. Rate requests count as admission because a caller
// waits for them. Unknown kinds are served last.
func classOf(kind wire.Kind) class {
	switch kind {
	case wire.KindAdmit, wire.KindAdmitReply, wire.KindRelease,
		wire.KindRegister, wire.KindRegisterDone, wire.KindRegisterAsk, wire.KindRateRequest, wire.KindRateGrant, wire.KindPlaced:
		return classAdmission
	case wire.KindClaimRequest, wire.KindClaimReply, wire.KindClaimFinish:
		return classClaims
	case wire.KindStrike:
		return classQuarantine
	case wire.KindConfigRequest, wire.KindConfigManifest, wire.KindBlobRequest, wire.KindBlob,
		wire.KindEngineState, wire.KindStoreFacts, wire.KindFactsRequest:
		return classConfiguration
	case wire.KindHeartbeat, wire.KindHello, wire.KindStanding, wire.KindLoads:
		return classHeartbeat
	}
	return classTimeline
}

// String returns the class's name as used in metric labels.
func (c class) String() string {
	return [...]string{"admission", "claims", "quarantine", "configuration", "heartbeat", "timeline"}[c]
}

// maxQueued is the number of messages that each class of a link may have queued. Two
// thousand admission messages are about a second of a surge at one home. Heartbeats that
// can't be sent are useless when they are old.
var maxQueued = [classes]int{
	classAdmission:     2048,
	classClaims:        1024,
	classQuarantine:    512,
	classConfiguration: 64,
	classHeartbeat:     4,
	classTimeline:      64,
}

// maxBulkBytes bounds the configuration and timeline messages queued on all links. It
// keeps a burst of file requests inside the 64 MB that coordination may use.
const maxBulkBytes = 8 << 20

// isBulk tells whether a class counts toward maxBulkBytes.
func (c class) isBulk() bool {
	return c == classConfiguration || c == classTimeline
}
