package wire

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (*Admit) Kind() Kind { return KindAdmit }

// Kind implements Message.
func (*AdmitReply) Kind() Kind { return KindAdmitReply }

// Kind implements Message.
func (*Release) Kind() Kind { return KindRelease }

// Kind implements Message.
func (*Register) Kind() Kind { return KindRegister }

// Kind implements Message.
func (*RegisterDone) Kind() Kind { return KindRegisterDone }

// Kind implements Message.
func (*RateRequest) Kind() Kind { return KindRateRequest }

// Kind implements Message.
func (*RateGrant) Kind() Kind { return KindRateGrant }

// Kind implements Message.
func (*ClaimRequest) Kind() Kind { return KindClaimRequest }

// Kind implements Message.
func (*ClaimReply) Kind() Kind { return KindClaimReply }

// Kind implements Message.
func (*ClaimFinish) Kind() Kind { return KindClaimFinish }

// Kind implements Message.
func (*Strike) Kind() Kind { return KindStrike }

// Kind implements Message.
func (*ConfigRequest) Kind() Kind { return KindConfigRequest }

// Kind implements Message.
func (*ConfigManifest) Kind() Kind { return KindConfigManifest }

// Kind implements Message.
func (*BlobRequest) Kind() Kind { return KindBlobRequest }

// Kind implements Message.
func (*Blob) Kind() Kind { return KindBlob }

// Kind implements Message.
func (*EngineState) Kind() Kind { return KindEngineState }

// Kind implements Message.
func (*Stamp) Kind() Kind { return KindStamp }

// Kind implements Message.
func (*ChatPlacement) Kind() Kind { return KindChatPlacement }

// Kind implements Message.
func (*RegisterRequest) Kind() Kind { return KindRegisterRequest }

// Kind implements Message.
func (*StatusReport) Kind() Kind { return KindStatusReport }

// Kind implements Message.
func (*StoreFacts) Kind() Kind { return KindStoreFacts }

// Kind implements Message.
func (*FactsRequest) Kind() Kind { return KindFactsRequest }

// Kind implements Message.
func (*Loads) Kind() Kind { return KindLoads }

// Kind implements Message.
func (*CrashEvidence) Kind() Kind { return KindCrashEvidence }

// Kind implements Message.
func (*EngineLimits) Kind() Kind { return KindEngineLimits }

// Kind implements Message.
func (*EngineWarmUps) Kind() Kind { return KindEngineWarmUps }

// Kind implements Message.
func (*EngineTokenReply) Kind() Kind { return KindEngineTokenReply }

// Kind implements Message.
func (*EngineTokenRequest) Kind() Kind { return KindEngineTokenRequest }

// Kind implements Message.
func (*StoreRead) Kind() Kind { return KindStoreRead }

// Kind implements Message.
func (*StreamOrigins) Kind() Kind { return KindStreamOrigins }

// Kind implements Message.
func (*StreamOriginRequest) Kind() Kind { return KindStreamOriginRequest }

// Kind implements Message.
func (*StreamOriginReply) Kind() Kind { return KindStreamOriginReply }

// newMessage returns an empty message of a kind, or nil for an unknown kind.
func newMessage(kind Kind) Message {
	switch kind {
	case KindHello:
		return &Hello{}
	case KindHeartbeat:
		return &Heartbeat{}
	case KindAdmit:
		return &Admit{}
	case KindAdmitReply:
		return &AdmitReply{}
	case KindRelease:
		return &Release{}
	case KindRegister:
		return &Register{}
	case KindRegisterDone:
		return &RegisterDone{}
	case KindRateRequest:
		return &RateRequest{}
	case KindRateGrant:
		return &RateGrant{}
	case KindClaimRequest:
		return &ClaimRequest{}
	case KindClaimReply:
		return &ClaimReply{}
	case KindClaimFinish:
		return &ClaimFinish{}
	case KindStrike:
		return &Strike{}
	case KindConfigRequest:
		return &ConfigRequest{}
	case KindConfigManifest:
		return &ConfigManifest{}
	case KindBlobRequest:
		return &BlobRequest{}
	case KindBlob:
		return &Blob{}
	case KindEngineState:
		return &EngineState{}
	case KindStamp:
		return &Stamp{}
	case KindChatPlacement:
		return &ChatPlacement{}
	case KindRegisterRequest:
		return &RegisterRequest{}
	case KindStatusReport:
		return &StatusReport{}
	case KindStoreFacts:
		return &StoreFacts{}
	case KindFactsRequest:
		return &FactsRequest{}
	case KindLoads:
		return &Loads{}
	case KindCrashEvidence:
		return &CrashEvidence{}
	case KindEngineLimits:
		return &EngineLimits{}
	case KindEngineWarmUps:
		return &EngineWarmUps{}
	case KindEngineTokenReply:
		return &EngineTokenReply{}
	case KindEngineTokenRequest:
		return &EngineTokenRequest{}
	case KindStoreRead:
		return &StoreRead{}
	case KindStreamOrigins:
		return &StreamOrigins{}
	case KindStreamOriginRequest:
		return &StreamOriginRequest{}
	case KindStreamOriginReply:
		return &StreamOriginReply{}
	}
	return nil
}

// String returns the kind's name in metric labels. It is the type's name in snake case, except for
// ChatPlacement ("placed"), RegisterRequest ("register_ask") and StatusReport ("standing").
func (k Kind) String() string {
	switch k {
	case KindHello:
		return "hello"
	case KindHeartbeat:
		return "heartbeat"
	case KindAdmit:
		return "admit"
	case KindAdmitReply:
		return "admit_reply"
	case KindRelease:
		return "release"
	case KindRegister:
		return "register"
	case KindRegisterDone:
		return "register_done"
	case KindRateRequest:
		return "rate_request"
	case KindRateGrant:
		return "rate_grant"
	case KindClaimRequest:
		return "claim_request"
	case KindClaimReply:
		return "claim_reply"
	case KindClaimFinish:
		return "claim_finish"
	case KindStrike:
		return "strike"
	case KindConfigRequest:
		return "config_request"
	case KindConfigManifest:
		return "config_manifest"
	case KindBlobRequest:
		return "blob_request"
	case KindBlob:
		return "blob"
	case KindEngineState:
		return "engine_state"
	case KindStamp:
		return "stamp"
	case KindChatPlacement:
		return "placed"
	case KindRegisterRequest:
		return "register_ask"
	case KindStatusReport:
		return "standing"
	case KindStoreFacts:
		return "store_facts"
	case KindFactsRequest:
		return "facts_request"
	case KindLoads:
		return "loads"
	case KindCrashEvidence:
		return "crash_evidence"
	case KindEngineLimits:
		return "engine_limits"
	case KindEngineWarmUps:
		return "engine_warm_ups"
	case KindEngineTokenReply:
		return "engine_token_reply"
	case KindEngineTokenRequest:
		return "engine_token_request"
	case KindStreamOrigins:
		return "stream_origins"
	case KindStreamOriginRequest:
		return "stream_origin_request"
	case KindStreamOriginReply:
		return "stream_origin_reply"
	}
	return "unknown"
}
