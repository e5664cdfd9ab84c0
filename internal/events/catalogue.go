package events

// Events about the lifecycle of a daemon.
var (
	NodeStarted    = &Event{101, "node_started", Info, "the daemon has started", []Key{Node, Incarnation, Region, Domain}, 0}
	NodeReady      = &Event{102, "node_ready", Info, "the node has a complete configuration and accepts callers", []Key{Node, Revision, Duration}, 0}
	NodeStopping   = &Event{103, "node_stopping", Info, "the node is shutting down and finishes the requests in flight", []Key{Node, Count}, 0}
	NodeStopped    = &Event{104, "node_stopped", Info, "the node has shut down", []Key{Node, Duration}, 0}
	GraceExceeded  = &Event{105, "grace_exceeded", Error, "the shutdown grace period has ended with requests in flight", []Key{Node, Accepted, Admitted, Responses, Calls, Duration}, 0}
	ListenerFailed = &Event{107, "listener_failed", Error, "a listener could not be opened or has failed", []Key{Address, Operation, Cause}, 0}
	SettingsRead   = &Event{109, "settings_read", Info, "the settings file was read again; changes take effect at the next start", []Key{Node, Outcome, Cause}, 0}
	SignalReceived = &Event{110, "signal_received", Info, "the process has received a signal to stop; the grace period runs from the first one", []Key{Node, Operation, Count, Duration}, 0}
	RequestsCutOff = &Event{111, "requests_cut_off", Warning, "the grace period ends; the requests that are still open receive their final response", []Key{Node, Count, Duration}, 0}
	PanicRecovered = &Event{108, "panic_recovered", Error, "a panic was recovered; the affected request failed", []Key{Operation, Cause}, 0}
)

// Events about the store and the configuration.
var (
	StoreUnavailable     = &Event{201, "store_unavailable", Warning, "the store does not respond; the last configuration stays in force", []Key{Operation, Cause}, 0}
	StoreRecovered       = &Event{202, "store_recovered", Info, "the store responds again", []Key{Duration}, 0}
	StoreOutcomeUnknown  = &Event{203, "store_outcome_unknown", Warning, "the response to a write was lost; its outcome is resolved by reading back", []Key{Operation, Service}, 0}
	ConfigApplied        = &Event{204, "config_applied", Info, "a configuration is in force on this node; it was acknowledged at most as long ago as the confirmation before it", []Key{Service, Revision, Source, Duration, Age, Bytes, Wait}, 0}
	ConfigInvalid        = &Event{205, "config_invalid", Error, "a document in the store cannot be read and the last one that could be stays in force, or a part of it is left out", []Key{Service, Revision, Cause}, 0}
	ConfigStale          = &Event{207, "config_stale", Warning, "neither the store nor a peer confirms the configuration in force", []Key{Revision, Duration}, 0}
	WatcherStarted       = &Event{208, "watcher_started", Info, "this node watches the store for its failure domain", []Key{Domain}, 0}
	WatcherStopped       = &Event{209, "watcher_stopped", Info, "another node watches the store for the failure domain", []Key{Domain}, 0}
	StoreRestored        = &Event{210, "store_restored", Warning, "the store was restored from an older copy; what was written since the copy may be gone", []Key{Era, PreviousEra}, 0}
	StoreHistoryLost     = &Event{211, "store_history_lost", Info, "the store does not have the changes after the last revision; the keys are listed again", []Key{Operation, Revision}, 0}
	ListOutdated         = &Event{212, "list_outdated", Warning, "a list of the store is older than what this node has; it replaces nothing", []Key{Operation, Revision, Complete}, 0}
	StoreEraReceived     = &Event{213, "store_era_received", Info, "the records of the fleet in a restored store are checked, and written again if they are lost", []Key{Era, Revision}, 0}
	StandInStarted       = &Event{214, "stand_in_started", Info, "no node of the failure domain has confirmed the configuration recently; this node reads it from the store", []Key{Domain, Revision}, 0}
	StandInStopped       = &Event{215, "stand_in_stopped", Info, "this node has stopped reading the store in place of the watchers of its failure domain", []Key{Domain}, 0}
	StandInFailed        = &Event{218, "stand_in_failed", Warning, "the store did not answer a read or a ping by this standby, of the given rank in its failure domain; it tries again after the duration, sooner if it hears of no attempt by others", []Key{Domain, Rank, Age, Duration, Cause}, 0}
	ConfirmationLate     = &Event{216, "confirmation_late", Warning, "the store has not confirmed the configuration to any node that this one hears of for longer than expected", []Key{Revision, Age, Operation}, 0}
	ConfirmationReceived = &Event{217, "confirmation_received", Info, "the store has confirmed the configuration again", []Key{Revision, Duration}, 0}
	RouteUnsupported     = &Event{220, "route_unsupported", Error, "this build does not understand a route of the configuration, or a service as a whole (route *); its requests are refused, the other routes are in force", []Key{Service, Revision, Route, Cause}, 0}
	ConfigKindUnknown    = &Event{226, "config_kind_unknown", Warning, "this build does not know the kind of a document of the configuration; it has no effect, and the routes that require it are refused", []Key{Document, Revision}, 0}
	QuotaCallFailed      = &Event{225, "quota_call_failed", Warning, "the node that distributes the quotas of a slot of accounts did not answer; the accounts have no permits here until the loan to it has ended", []Key{Node, Count}, 0}
	AccountsApplied      = &Event{221, "accounts_applied", Info, "the client accounts of a group are in force on this node, as config_applied", []Key{Group, Revision, Count, Source, Duration, Age, Bytes, Wait}, 0}
	AccountsInvalid      = &Event{222, "accounts_invalid", Error, "a group of client accounts in the store is not valid; none of its accounts is in force, and keys that no other account has are refused with accounts_unknown", []Key{Group, Revision, Cause}, 0}
	AccountUnsupported   = &Event{223, "account_unsupported", Error, "this build does not understand a client account; requests with its keys are refused, the other accounts are in force", []Key{Accounts, Group, Revision, Cause}, 0}
	KeyShared            = &Event{224, "key_shared", Error, "client accounts have an API key in common; it belongs to none of them, their other keys are in force", []Key{Accounts, Revision}, 0}
	PullFailed           = &Event{219, "pull_failed", Warning, "a node did not answer a pull of records and configuration within the duration", []Key{Address, Revision, Duration, Cause}, 0}
)

// Events about members and connections.
var (
	NodeJoined        = &Event{301, "node_joined", Info, "a node or a new incarnation of it has joined", []Key{Node, Incarnation, Domain}, 0}
	NodeLeft          = &Event{302, "node_left", Info, "a node has stopped gracefully", []Key{Node, Incarnation}, 0}
	NodeSilent        = &Event{303, "node_silent", Warning, "no heartbeats are received from a node", []Key{Node, Duration}, 0}
	NodeHeard         = &Event{304, "node_heard", Info, "heartbeats are received from a node again", []Key{Node, Duration}, 0}
	PathAvoided       = &Event{305, "path_avoided", Warning, "the path to a node is avoided", []Key{Node, Cause}, 0}
	PathRestored      = &Event{306, "path_restored", Info, "the path to a node is used again", []Key{Node}, 0}
	ConnectionSilent  = &Event{307, "connection_silent", Warning, "timed out waiting for a frame on an open connection; a new one is tried", []Key{Node, Address, Duration}, 0}
	RegionUnreachable = &Event{308, "region_unreachable", Error, "no node of a region responds", []Key{Region, Duration}, 0}
	RegionReachable   = &Event{309, "region_reachable", Info, "a region responds again", []Key{Region, Duration}, 0}
	LoadDigestFailed  = &Event{311, "load_digest_failed", Warning, "a load digest could not be sent or read", []Key{Operation, Address, Cause}, 0}
	MemberRecordLost  = &Event{313, "member_record_lost", Warning, "the store has lost this node's member record; it is written again", []Key{Node, Incarnation}, 0}
	LinkBudgetSpent   = &Event{310, "link_budget_spent", Warning, "the byte budget to other regions is exhausted", []Key{Region, Bytes}, 0}
)

// Events about targets.
var (
	TargetAnnounced    = &Event{401, "target_announced", Info, "an upstream has announced itself for the first time", []Key{Target, Service, Address, Slots}, 0}
	TargetPhaseChanged = &Event{402, "target_phase_changed", Info, "an upstream has announced another phase", []Key{Target, Service, Phase}, 0}
	TargetMissing      = &Event{403, "target_missing", Warning, "an upstream no longer announces itself", []Key{Target, Service, Duration}, 0}
	TargetSuspected    = &Event{404, "target_suspected", Warning, "the failure detector suspects a target", []Key{Target, Service, Cause}, 0}
	TargetEjected      = &Event{405, "target_ejected", Warning, "a target is ejected by a permit", []Key{Target, Service, Slots, Floor}, 0}
	TargetAvoided      = &Event{406, "target_avoided", Warning, "a target is avoided by this node alone", []Key{Target, Service, Slots, Floor}, 0}
	TargetReturned     = &Event{407, "target_returned", Info, "a target is healthy again", []Key{Target, Service, Duration}, 0}
	TargetHeldDown     = &Event{408, "target_held_down", Warning, "a flapping target is suspected again; its hold-down is longer", []Key{Target, Service, Count, Duration}, 0}
	EjectionAtFloor    = &Event{409, "ejection_at_floor", Error, "a failing target is not ejected because of the capacity floor", []Key{Target, Service, Slots, Floor}, 0}
	EjectionWithdrawn  = &Event{410, "ejection_withdrawn", Info, "an operator has withdrawn an ejection", []Key{Target, Service}, 0}
	DrainStarted       = &Event{411, "drain_started", Info, "a target is drained", []Key{Target, Service, Slots, Floor}, 0}
	DrainForced        = &Event{412, "drain_forced", Warning, "a target is drained below the floor by force", []Key{Target, Service, Slots, Floor}, 0}
	DrainRefused       = &Event{413, "drain_refused", Warning, "a drain is refused because of the floor", []Key{Target, Service, Slots, Floor}, 0}
	DrainEnded         = &Event{414, "drain_ended", Info, "a drained target is restored", []Key{Target, Service}, 0}
	TargetDoubted      = &Event{416, "target_doubted", Warning, "a run has failed or is overdue; the circuit breaker of the target admits only a few idempotent requests", []Key{Target, Attempt, Route, Cause, Duration, Limit, Count}, 0}
	TargetTrusted      = &Event{417, "target_trusted", Info, "a doubtful target has succeeded; its circuit breaker is closed and it receives all requests again", []Key{Target, Attempt, Route, Duration, Limit}, 0}
	RequestHedged      = &Event{418, "request_hedged", Info, "a run takes much longer than usual; a hedge is sent to another target", []Key{Request, Service}, 0}
	RunWillBeCutOff    = &Event{425, "run_will_be_cut_off", Info, "the admitting node of an attempt stops and cuts it off at the limit, unless it ends before", []Key{Request, Count, Limit}, requestLinesPerSecond}
	AnnounceRefused    = &Event{415, "announce_refused", Warning, "an announcement of an upstream is not valid", []Key{Address, Cause}, 0}
	UnknownTargetLeft  = &Event{419, "unknown_target_left", Info, "an upstream that this process has not heard of says that it leaves", []Key{Target}, 0}
	AnnounceIgnored    = &Event{420, "announce_ignored", Info, "a late announcement of an upstream that has left is ignored", []Key{Target, Service, Phase}, 0}
	LeaveRefused       = &Event{421, "leave_refused", Info, "this node stops, so it stops using an upstream that leaves but does not acknowledge it", []Key{Target}, 0}
	StopNoticeFailed   = &Event{424, "stop_notice_failed", Warning, "a node at which attempts of this stopping node are in progress does not take the notice; they may run until this node ends them", []Key{Address, Cause}, 0}
	DepartureNotKept   = &Event{422, "departure_not_kept", Warning, "neither the store nor enough peers have received the departure of an upstream, so it is not acknowledged", []Key{Target, Cause}, 0}
	DepartureRestored  = &Event{423, "departure_restored", Info, "an earlier process of this node has acknowledged the departure of an upstream", []Key{Target}, 0}
)

// Events about requests that crash upstreams.
var (
	CrashAttributed        = &Event{501, "crash_attributed", Warning, "the loss of an upstream is attributed to requests in flight", []Key{Service, Target, Fingerprint, Count}, 0}
	FingerprintQuarantined = &Event{502, "fingerprint_quarantined", Error, "a request is quarantined on all nodes", []Key{Service, Fingerprint, Count}, 0}
	FingerprintReleased    = &Event{503, "fingerprint_released", Info, "a request is no longer quarantined", []Key{Fingerprint}, 0}
	QuarantineProbed       = &Event{505, "quarantine_probed", Info, "one request with a quarantined fingerprint runs, to find out whether the quarantine should end", []Key{Service, Target, Fingerprint, Count}, 0}
	QuarantineRewritten    = &Event{504, "quarantine_rewritten", Warning, "the store has lost the losses of a request; they are written again", []Key{Fingerprint, Count}, 0}
)

// requestLinesPerSecond is the rate limit of the events that are written for every request and attempt, successful or
// not. A VM with a third of a core serves fewer requests per second.
const requestLinesPerSecond = 100

// Events about every request.
var (
	AttemptEnded = &Event{801, "attempt_ended", Info, "an attempt at a target has ended", []Key{Request, Attempt, Target, Route, Rank, Remaining, Cutoff, Mode, Outcome, Wait, Duration, Doubt, Revision, Account, Access, AccessRevision}, requestLinesPerSecond}
	RequestEnded = &Event{802, "request_ended", Info, "a request has its final response", []Key{Request, Service, Route, Outcome, Status, Count, Duration, Cutoff, Revision, Account, Access, AccessRevision}, requestLinesPerSecond}
)

// Events about operators' calls.
var (
	ApplyAccepted    = &Event{601, "apply_accepted", Info, "an operator's declaration was accepted", []Key{Service, Revision}, 0}
	ApplyConflict    = &Event{602, "apply_conflict", Warning, "an operator's declaration conflicts with a newer revision", []Key{Service, Revision}, 0}
	ApplyInForce     = &Event{603, "apply_in_force", Info, "a declaration is in force on all nodes that respond", []Key{Service, Revision, Count, Duration}, 0}
	ApplyBehind      = &Event{604, "apply_behind", Warning, "a declaration is not yet in force on some nodes", []Key{Service, Revision, Count, Duration}, 0}
	OperatorDenied   = &Event{605, "operator_denied", Warning, "an operator's call had no valid token", []Key{Operation}, 0}
	AccountsChanged  = &Event{607, "accounts_changed", Info, "an operator has changed client accounts of one group", []Key{Count, Revision}, 0}
	AccountsConflict = &Event{608, "accounts_conflict", Warning, "operators' declarations of client accounts conflict with newer changes", []Key{Count}, 0}
	OperatorCommand  = &Event{606, "operator_command", Info, "an operator's command was carried out", []Key{Operation, Service, Target}, 0}
)

// Events about claims and operations.
var (
	ClaimOutcomeUnwritten = &Event{702, "claim_outcome_unwritten", Warning, "the outcome of a claimed request could not be recorded", []Key{Service, Attempt, Cause}, 0}
	ClaimsCollected       = &Event{703, "claims_collected", Info, "old claims were deleted", []Key{Count}, 0}
	AnswersDropped        = &Event{704, "answers_dropped", Warning, "retained responses were dropped before they were acknowledged", []Key{Count, Bytes}, 0}
)

// nonReasonEvents lists the events that belong to no verdict.Reason, grouped by topic.
var nonReasonEvents = []*Event{
	NodeStarted, NodeReady, NodeStopping, NodeStopped, GraceExceeded,
	ListenerFailed, PanicRecovered, SettingsRead, SignalReceived, RequestsCutOff, StoreUnavailable, StoreRecovered,
	StoreOutcomeUnknown, StoreRestored, StoreHistoryLost, ListOutdated, StoreEraReceived, ConfigApplied, ConfigInvalid, ConfigStale, RouteUnsupported, ConfigKindUnknown,
	AccountsApplied, AccountsInvalid, AccountUnsupported, KeyShared,
	WatcherStarted, WatcherStopped, StandInStarted, StandInStopped, StandInFailed, ConfirmationLate, ConfirmationReceived, PullFailed, QuotaCallFailed, MemberRecordLost, NodeJoined, NodeLeft, NodeSilent,
	NodeHeard, PathAvoided, PathRestored, ConnectionSilent, RegionUnreachable,
	RegionReachable, LinkBudgetSpent, LoadDigestFailed, TargetAnnounced, TargetPhaseChanged, UnknownTargetLeft, AnnounceIgnored, LeaveRefused,
	DepartureNotKept, DepartureRestored,
	TargetMissing, TargetSuspected, TargetEjected, TargetAvoided, TargetReturned,
	TargetHeldDown, EjectionAtFloor, EjectionWithdrawn, DrainStarted, DrainForced,
	DrainRefused, DrainEnded, AnnounceRefused, TargetDoubted, TargetTrusted, RequestHedged, RunWillBeCutOff, StopNoticeFailed, CrashAttributed, FingerprintQuarantined,
	FingerprintReleased, QuarantineRewritten, QuarantineProbed, ApplyAccepted, ApplyConflict, ApplyInForce, ApplyBehind,
	OperatorDenied, OperatorCommand, AccountsChanged, AccountsConflict, ClaimOutcomeUnwritten, ClaimsCollected,
	AnswersDropped, AttemptEnded, RequestEnded,
}
