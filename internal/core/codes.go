package core

// Failure codes in error answers. They are part of the interface to callers.
const (
	CodeRateLimited       = "rate_limited"
	CodeQuarantined       = "quarantined"
	CodeKeyReused         = "idempotency_key_reused"
	CodeUnknownService    = "unknown_service"
	CodeOverloaded        = "overloaded"
	CodeNoEngine          = "no_engine"
	CodeNotReady          = "not_ready"
	CodeClaimsUnavailable = "claims_unavailable"
	CodeOutcomeUnknown    = "outcome_unknown"
	CodeEngineLost        = "engine_lost"
	CodeStreamLost        = "stream_lost"
	CodeEngineRefused     = "engine_refused"
	CodeStopping          = "stopping"
)

// Counter is the name of a counter of the daemon.
type Counter string

// Counters. The daemon exports them with the prefix bilberry_ and the suffix _total.
const (
	CounterRequests          Counter = "requests"
	CounterAttempts          Counter = "attempts"
	CounterRetries           Counter = "retries"
	CounterRetriesDenied     Counter = "retries_denied"
	CounterResumed           Counter = "streams_resumed"
	CounterComplete          Counter = "requests_complete"
	CounterCanceled          Counter = "requests_canceled"
	CounterRequestsNotRun    Counter = "requests_not_run"
	CounterRequestsUnknown   Counter = "requests_unknown"
	CounterRequestsFailed    Counter = "requests_failed"
	CounterRateLimited       Counter = "rate_limited"
	CounterQuarantineRefused Counter = "quarantine_refused"
	// CounterCrossedAnswers counts answers that carry the id of another attempt.
	CounterCrossedAnswers Counter = "crossed_answers"
	// CounterLateReplies counts replies and results that arrive after their attempt or claim has
	// ended.
	CounterLateReplies  Counter = "late_replies"
	CounterUnauthorized Counter = "unauthorized"
	// CounterFirstChoice counts the requests whose first attempt started on the chat's first choice,
	// CounterOverflow those whose first attempt started on another engine.
	CounterFirstChoice       Counter = "first_choice_grants"
	CounterOverflow          Counter = "overflow_grants"
	CounterQueued            Counter = "queued"
	CounterRedirects         Counter = "redirects"
	CounterAdmitTimeouts     Counter = "admit_timeouts"
	CounterCacheHits         Counter = "cache_hits"
	CounterEngineCrashes     Counter = "engine_crashes"
	CounterStrikes           Counter = "strikes"
	CounterTakeovers         Counter = "takeovers"
	CounterConfigAdopted     Counter = "config_adopted"
	CounterConfigOlder       Counter = "config_older_refused"
	CounterConfigInvalid     Counter = "config_invalid"
	CounterClaimsGranted     Counter = "claims_granted"
	CounterClaimsReplayed    Counter = "claims_replayed"
	CounterClaimsUnavailable Counter = "claims_unavailable"
	CounterStoreErrors       Counter = "store_errors"
	CounterOrdersSent        Counter = "orders_sent"
	CounterOrdersStale       Counter = "orders_stale"
	CounterChatsMoved        Counter = "chats_moved"
	CounterMembersGone       Counter = "members_gone"
	// CounterGrantsReconciled counts the attempts that a home removed because their entry no longer
	// listed them.
	CounterGrantsReconciled Counter = "grants_reconciled"
)

// Counters returns all counters.
func Counters() []Counter {
	return []Counter{
		CounterRequests, CounterAttempts, CounterRetries,
		CounterRetriesDenied, CounterResumed, CounterComplete,
		CounterCanceled, CounterRequestsNotRun, CounterRequestsUnknown,
		CounterRequestsFailed, CounterRateLimited, CounterQuarantineRefused,
		CounterCrossedAnswers, CounterLateReplies, CounterUnauthorized,
		CounterFirstChoice, CounterOverflow, CounterQueued,
		CounterRedirects, CounterAdmitTimeouts, CounterCacheHits,
		CounterEngineCrashes, CounterStrikes, CounterTakeovers,
		CounterConfigAdopted, CounterConfigOlder, CounterConfigInvalid,
		CounterClaimsGranted, CounterClaimsReplayed, CounterClaimsUnavailable,
		CounterStoreErrors, CounterOrdersSent, CounterOrdersStale,
		CounterChatsMoved, CounterMembersGone, CounterGrantsReconciled,
	}
}
