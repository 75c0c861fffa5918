package peer

import "github.com/bilberrywell/bilberrywell/internal/wire"

// class is a priority class of messages. Messages of lower values are sent first.
type class uint8

const (
	classAdmission class = iota
	classClaims
	classQuarantine
	classConfiguration
	classHeartbeat
	classTimeline
	classCount
)

// classOf returns the class of a kind. Rate requests count as admission because a caller
// waits for them. Unknown kinds are sent last.
func classOf(kind wire.Kind) class {
	switch kind {
	case wire.KindAdmit, wire.KindAdmitReply, wire.KindRelease,
		wire.KindRegister, wire.KindRegisterDone, wire.KindRegisterRequest, wire.KindRateRequest, wire.KindRateGrant, wire.KindChatPlacement,
		wire.KindEngineTokenRequest, wire.KindEngineTokenReply:
		return classAdmission
	case wire.KindClaimRequest, wire.KindClaimReply, wire.KindClaimFinish:
		return classClaims
	case wire.KindStrike, wire.KindCrashEvidence, wire.KindEngineLimits:
		return classQuarantine
	case wire.KindConfigRequest, wire.KindConfigManifest, wire.KindBlobRequest, wire.KindBlob,
		wire.KindEngineState, wire.KindStoreFacts, wire.KindFactsRequest:
		return classConfiguration
	case wire.KindHeartbeat, wire.KindHello, wire.KindStatusReport, wire.KindLoads, wire.KindStoreRead:
		return classHeartbeat
	}
	return classTimeline
}

// String returns the class's name as used in metric labels.
func (c class) String() string {
	return [...]string{"admission", "claims", "quarantine", "configuration", "heartbeat", "timeline"}[c]
}

// maxQueued is the number of messages of each class that may be queued on a link. Two thousand
// admission messages are about a second of a request surge at one home. Few heartbeats are queued, because
// an old one is useless.
var maxQueued = [classCount]int{
	classAdmission:     2048,
	classClaims:        1024,
	classQuarantine:    512,
	classConfiguration: 64,
	classHeartbeat:     4,
	classTimeline:      64,
}

// maxBulkBytes is the limit of the configuration and timeline bytes queued on all links together.
// It keeps a burst of file requests within the 64 MB of memory that coordination may use.
const maxBulkBytes = 8 << 20

// isBulk reports whether a class counts toward maxBulkBytes.
func (c class) isBulk() bool {
	return c == classConfiguration || c == classTimeline
}
