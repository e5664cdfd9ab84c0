package events

// Events about the life of a daemon.
var (
	NodeStarted    = &Event{101, "node_started", Info, "the daemon has started", []Key{Node, Incarnation, Region, Domain}, 0}
	NodeReady      = &Event{102, "node_ready", Info, "the node has a complete configuration and accepts callers", []Key{Node, Revision, Duration}, 0}
	NodeStopping   = &Event{103, "node_stopping", Info, "the node is shutting down and finishes the requests in flight", []Key{Node, Count}, 0}
	NodeStopped    = &Event{104, "node_stopped", Info, "the node has shut down", []Key{Node, Duration}, 0}
	GraceExceeded  = &Event{105, "grace_exceeded", Error, "the shutdown grace has passed with requests in flight", []Key{Node, Count, Duration}, 0}
	ListenerFailed = &Event{107, "listener_failed", Error, "a listener could not be opened or has failed", []Key{Address, Operation, Cause}, 0}
	SettingsRead   = &Event{109, "settings_read", Info, "the settings file was read again; changes take effect at the next start", []Key{Node, Outcome, Cause}, 0}
	PanicRecovered = &Event{108, "panic_recovered", Error, "a panic was recovered; the affected request failed", []Key{Operation, Cause}, 0}
)

// Events about store and configuration.
var (
	StoreUnavailable    = &Event{201, "store_unavailable", Warning, "the store does not answer; the last configuration stays in force", []Key{Operation, Cause}, 0}
	StoreRecovered      = &Event{202, "store_recovered", Info, "the store answers again", []Key{Duration}, 0}
	StoreOutcomeUnknown = &Event{203, "store_outcome_unknown", Warning, "the answer to a write was lost; its outcome is settled by reading back", []Key{Operation, Service}, 0}
	ConfigApplied       = &Event{204, "config_applied", Info, "a configuration is in force on this node", []Key{Service, Revision}, 0}
	ConfigInvalid       = &Event{205, "config_invalid", Error, "a document in the store is not valid; the last valid one stays in force", []Key{Service, Revision, Cause}, 0}
	ConfigStale         = &Event{207, "config_stale", Warning, "neither the store nor a peer confirms the configuration in force", []Key{Revision, Duration}, 0}
	WatcherStarted      = &Event{208, "watcher_started", Info, "this node watches the store for its failure domain", []Key{Domain}, 0}
	WatcherStopped      = &Event{209, "watcher_stopped", Info, "another node watches the store for the failure domain", []Key{Domain}, 0}
)

// Events about members and connections.
var (
	NodeJoined        = &Event{301, "node_joined", Info, "a node or a new incarnation of it has joined", []Key{Node, Incarnation, Domain}, 0}
	NodeLeft          = &Event{302, "node_left", Info, "a node has stopped gracefully", []Key{Node, Incarnation}, 0}
	NodeSilent        = &Event{303, "node_silent", Warning, "a node does not answer", []Key{Node, Duration}, 0}
	NodeHeard         = &Event{304, "node_heard", Info, "a silent node answers again", []Key{Node, Duration}, 0}
	PathAvoided       = &Event{305, "path_avoided", Warning, "the path to a node is avoided", []Key{Node, Cause}, 0}
	PathRestored      = &Event{306, "path_restored", Info, "the path to a node is used again", []Key{Node}, 0}
	ConnectionSilent  = &Event{307, "connection_silent", Warning, "an open connection gives no frames; a new one is tried", []Key{Node, Address, Duration}, 0}
	RegionUnreachable = &Event{308, "region_unreachable", Error, "no node of a region answers", []Key{Region, Duration}, 0}
	RegionReachable   = &Event{309, "region_reachable", Info, "a region answers again", []Key{Region, Duration}, 0}
	LoadDigestFailed  = &Event{311, "load_digest_failed", Warning, "a datagram with the load of targets could not be sent or read", []Key{Operation, Address, Cause}, 0}
	LinkBudgetSpent   = &Event{310, "link_budget_spent", Warning, "the byte budget to other regions is spent", []Key{Region, Bytes}, 0}
)

// Events about targets.
var (
	TargetAnnounced    = &Event{401, "target_announced", Info, "an upstream has announced itself for the first time", []Key{Target, Service, Address, Slots}, 0}
	TargetPhaseChanged = &Event{402, "target_phase_changed", Info, "an upstream has announced another phase", []Key{Target, Service, Phase}, 0}
	TargetMissing      = &Event{403, "target_missing", Warning, "an upstream no longer announces itself", []Key{Target, Service, Duration}, 0}
	TargetSuspected    = &Event{404, "target_suspected", Warning, "the detector holds a target to be failing", []Key{Target, Service, Cause}, 0}
	TargetEjected      = &Event{405, "target_ejected", Warning, "a target is ejected by a permit", []Key{Target, Service, Slots, Floor}, 0}
	TargetAvoided      = &Event{406, "target_avoided", Warning, "a target is avoided by this node alone", []Key{Target, Service, Slots, Floor}, 0}
	TargetReturned     = &Event{407, "target_returned", Info, "a target takes work again", []Key{Target, Service, Duration}, 0}
	TargetHeldDown     = &Event{408, "target_held_down", Warning, "a flapping target stays out for longer", []Key{Target, Service, Count, Duration}, 0}
	EjectionAtFloor    = &Event{409, "ejection_at_floor", Error, "a failing target stays in because the floor allows no ejection", []Key{Target, Service, Slots, Floor}, 0}
	EjectionWithdrawn  = &Event{410, "ejection_withdrawn", Info, "an operator has withdrawn an ejection", []Key{Target, Service}, 0}
	DrainStarted       = &Event{411, "drain_started", Info, "a target is drained", []Key{Target, Service, Slots, Floor}, 0}
	DrainForced        = &Event{412, "drain_forced", Warning, "a target is drained below the floor by force", []Key{Target, Service, Slots, Floor}, 0}
	DrainRefused       = &Event{413, "drain_refused", Warning, "a drain is refused because of the floor", []Key{Target, Service, Slots, Floor}, 0}
	DrainEnded         = &Event{414, "drain_ended", Info, "a drained target is restored", []Key{Target, Service}, 0}
	TargetDoubted      = &Event{416, "target_doubted", Warning, "a run has failed or is overdue; the target gets a few idempotent requests alone", []Key{Target, Attempt, Route, Cause, Duration, Limit, Count}, 0}
	TargetTrusted      = &Event{417, "target_trusted", Info, "a doubtful target has answered well and takes all work again", []Key{Target, Attempt, Route, Duration, Limit}, 0}
	RequestHedged      = &Event{418, "request_hedged", Info, "a run takes much longer than usual; the request is offered to another target as well", []Key{Request, Service}, 0}
	AnnounceRefused    = &Event{415, "announce_refused", Warning, "an announcement of an upstream is not valid", []Key{Address, Cause}, 0}
)

// Events about requests that crash upstreams.
var (
	CrashAttributed        = &Event{501, "crash_attributed", Warning, "the loss of an upstream is attributed to requests in flight", []Key{Service, Target, Fingerprint, Count}, 0}
	FingerprintQuarantined = &Event{502, "fingerprint_quarantined", Error, "a request is quarantined on all nodes", []Key{Service, Fingerprint, Count}, 0}
	FingerprintReleased    = &Event{503, "fingerprint_released", Info, "a request is no longer quarantined", []Key{Fingerprint}, 0}
)

// requestLines bounds the lines a second about requests that ended well or badly. A VM of a third of a core serves less.
const requestLines = 100

// Events about every request.
var (
	AttemptEnded = &Event{801, "attempt_ended", Info, "an attempt at a target has ended", []Key{Request, Attempt, Target, Route, Mode, Outcome, Wait, Duration, Doubt, Revision}, requestLines}
	RequestEnded = &Event{802, "request_ended", Info, "a request has its final answer", []Key{Request, Service, Route, Outcome, Status, Count, Duration, Revision}, requestLines}
)

// Events about operators.
var (
	ApplyAccepted   = &Event{601, "apply_accepted", Info, "an operator's declaration was accepted", []Key{Service, Revision}, 0}
	ApplyConflict   = &Event{602, "apply_conflict", Warning, "an operator's declaration met a newer revision", []Key{Service, Revision}, 0}
	ApplyInForce    = &Event{603, "apply_in_force", Info, "a declaration is in force on all nodes that answer", []Key{Service, Revision, Count, Duration}, 0}
	ApplyBehind     = &Event{604, "apply_behind", Warning, "a declaration is not yet in force on some nodes", []Key{Service, Revision, Count, Duration}, 0}
	OperatorDenied  = &Event{605, "operator_denied", Warning, "an operator's call had no valid token", []Key{Operation}, 0}
	OperatorCommand = &Event{606, "operator_command", Info, "an operator's command was carried out", []Key{Operation, Service, Target}, 0}
)

// Events about claims and operations.
var (
	ClaimOutcomeUnwritten = &Event{702, "claim_outcome_unwritten", Warning, "the outcome of a claimed request could not be recorded", []Key{Service, Attempt, Cause}, 0}
	ClaimsCollected       = &Event{703, "claims_collected", Info, "old claims were deleted", []Key{Count}, 0}
	AnswersDropped        = &Event{704, "answers_dropped", Warning, "held answers were dropped before they were collected", []Key{Count, Bytes}, 0}
)

// fixed lists the events that belong to no reason, in the order of their numbers.
var fixed = []*Event{
	NodeStarted, NodeReady, NodeStopping, NodeStopped, GraceExceeded,
	ListenerFailed, PanicRecovered, SettingsRead, StoreUnavailable, StoreRecovered,
	StoreOutcomeUnknown, ConfigApplied, ConfigInvalid, ConfigStale,
	WatcherStarted, WatcherStopped, NodeJoined, NodeLeft, NodeSilent,
	NodeHeard, PathAvoided, PathRestored, ConnectionSilent, RegionUnreachable,
	RegionReachable, LinkBudgetSpent, LoadDigestFailed, TargetAnnounced, TargetPhaseChanged,
	TargetMissing, TargetSuspected, TargetEjected, TargetAvoided, TargetReturned,
	TargetHeldDown, EjectionAtFloor, EjectionWithdrawn, DrainStarted, DrainForced,
	DrainRefused, DrainEnded, AnnounceRefused, TargetDoubted, TargetTrusted, RequestHedged, CrashAttributed, FingerprintQuarantined,
	FingerprintReleased, ApplyAccepted, ApplyConflict, ApplyInForce, ApplyBehind,
	OperatorDenied, OperatorCommand, ClaimOutcomeUnwritten, ClaimsCollected,
	AnswersDropped, AttemptEnded, RequestEnded,
}
