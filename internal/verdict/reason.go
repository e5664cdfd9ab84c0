package verdict

// Reason is the stable code of a refusal, a failure or a retry. Callers receive it in the Sardinereach-Reason
// header. Operators find it in counters and logs.
type Reason string

// Reasons with the verdict NotRun.
const (
	// NoRoute means that no route matches the method and path.
	NoRoute Reason = "no_route"
	// PathAmbiguous means that the path has a segment "..", or begins with "//" and is not properly encoded, so that the node and an
	// upstream may take it for different paths.
	PathAmbiguous Reason = "path_ambiguous"
	// RouteUnsupported means that the configuration has a route for the request that this build does not understand.
	RouteUnsupported Reason = "route_unsupported"
	// NoTarget means that no target of the service is left for the request.
	NoTarget Reason = "no_target"
	// SlotsFull means that all slots of the target and its queue are in use, or that the target has answered none of its last
	// runs and gets no more requests that must not run twice while other targets have free slots.
	SlotsFull Reason = "slots_full"
	// QueueDeadline means that the request could not get a slot before its deadline.
	QueueDeadline Reason = "queue_deadline"
	// APIKeyRequired means that the request has no API key, or more than one, and its route requires one.
	APIKeyRequired Reason = "api_key_required"
	// APIKeyUnknown means that no client account of the configuration in force has the API key of the request.
	APIKeyUnknown Reason = "api_key_unknown"
	// AccountsUnknown means that the node cannot tell whether an account has the API key of the request: it does not have all
	// accounts of the configuration, or does not understand one.
	AccountsUnknown Reason = "accounts_unknown"
	// AccessUnchecked means that a node whose build does not know API keys has sent an attempt for a route that requires one.
	AccessUnchecked Reason = "access_unchecked"
	// QuotaExceeded means that the client account has used its quota.
	QuotaExceeded Reason = "quota_exceeded"
	// QuotaUnavailable means that the node has no part in the quota of the client account now, because it has lost the node that
	// distributes it.
	QuotaUnavailable Reason = "quota_unavailable"
	// TargetDraining means that the target is draining and accepts no new requests.
	TargetDraining Reason = "target_draining"
	// TargetStarting means that the target is not ready yet.
	TargetStarting Reason = "target_starting"
	// TargetOnTrial means that the target is suspected and accepts only a few idempotent trial requests.
	TargetOnTrial Reason = "target_on_trial"
	// TargetDoubtful means that the circuit breaker of the target is half-open, because its last runs failed or took too
	// long. Only a few idempotent requests are admitted as probes.
	TargetDoubtful Reason = "target_doubtful"
	// TargetUnknown means that the target is not a local target of the admitting node.
	TargetUnknown Reason = "target_unknown"
	// AttemptFenced means that the attempt was fenced before it was admitted.
	AttemptFenced Reason = "attempt_fenced"
	// AttemptDuplicate means that an attempt with this ID was already admitted or refused.
	AttemptDuplicate Reason = "attempt_duplicate"
	// AdmitExpired means that the latest admission time of the attempt has passed.
	AdmitExpired Reason = "admit_expired"
	// WrongIncarnation means that the attempt was addressed to an earlier incarnation of the node.
	WrongIncarnation Reason = "wrong_incarnation"
	// UpstreamShed means that the upstream shed the request and reported that it did not run it.
	UpstreamShed Reason = "upstream_shed"
	// UpstreamUnreachable means that no connection to the upstream could be opened.
	UpstreamUnreachable Reason = "upstream_unreachable"
	// NodeUnreachable means that no connection to the admitting node could be opened.
	NodeUnreachable Reason = "node_unreachable"
	// NodeStopping means that the node is shutting down and accepts no new requests.
	NodeStopping Reason = "node_stopping"
	// NotReady means that the node has not received a complete configuration yet.
	NotReady Reason = "not_ready"
	// Overloaded means that the accepting node has reached its maximum number of requests.
	Overloaded Reason = "overloaded"
	// DeadlineExceeded means that the deadline passed before the request was dispatched.
	DeadlineExceeded Reason = "deadline_exceeded"
	// BodyTooLarge means that the request body exceeds the limit.
	BodyTooLarge Reason = "body_too_large"
	// BodyIncomplete means that the caller did not send the complete body.
	BodyIncomplete Reason = "body_incomplete"
	// BadRequest means that a header of the request is malformed, or that its method is CONNECT.
	BadRequest Reason = "bad_request"
	// KeyMissing means that a non-idempotent request has neither an idempotency key nor a ticket.
	KeyMissing Reason = "key_missing"
	// KeyInvalid means that the idempotency key or the ticket is malformed.
	KeyInvalid Reason = "key_invalid"
	// KeyReused means that the key or ticket was used with a different request.
	KeyReused Reason = "key_reused"
	// StoreUnavailable means that the idempotency key could not be claimed because the store did not respond.
	StoreUnavailable Reason = "store_unavailable"
	// Quarantined means that requests with the same fingerprint crashed upstreams.
	Quarantined Reason = "quarantined"
	// LinkBudget means that only targets in other regions are usable and the link's byte budget is exhausted.
	LinkBudget Reason = "link_budget"
	// RepeatsSpent means that the admission point has admitted as many additional attempts as its share of the service's
	// retry budget allows.
	RepeatsSpent Reason = "repeats_spent"
	// AcceptorStopping means that the accepting node stops before the run would probably end.
	AcceptorStopping Reason = "acceptor_stopping"
	// CallerGone means that the caller closed its connection before the request was dispatched.
	CallerGone Reason = "caller_gone"
)

// Reasons with the verdict MayHaveRun.
const (
	// UpstreamLost means that the connection to the upstream was lost while the request may have been running.
	UpstreamLost Reason = "upstream_lost"
	// UpstreamTimeout means that the upstream did not respond in time.
	UpstreamTimeout Reason = "upstream_timeout"
	// NodeLost means that the admitting node terminated or became unreachable, so that its attempt records are unavailable.
	NodeLost Reason = "node_lost"
	// AnswerIncomplete means that the response was truncated, or that its end cannot be determined.
	AnswerIncomplete Reason = "answer_incomplete"
	// AnswerDropped means that the request ran, but its response is no longer retained.
	AnswerDropped Reason = "answer_dropped"
	// ClaimRunning means that another attempt under the same key is still running.
	ClaimRunning Reason = "claim_running"
	// ClaimHolderLost means that the holder of the claim terminated before it recorded an outcome.
	ClaimHolderLost Reason = "claim_holder_lost"
	// TicketLost means that the incarnation that issued the ticket has terminated, or that the ticket has expired.
	TicketLost Reason = "ticket_lost"
	// TicketUnreachable means that the node that issued the ticket did not respond.
	TicketUnreachable Reason = "ticket_unreachable"
	// CallerCancelled means that the caller closed its connection while the request may have been running.
	CallerCancelled Reason = "caller_cancelled"
	// ShutdownCutoff means that the accepting node reached the end of its grace period while the request may have been running.
	ShutdownCutoff Reason = "shutdown_cutoff"
)

// Reasons for which the accepting node stops or limits retries.
const (
	// RetryBudget means that the retry budget of the service is exhausted.
	RetryBudget Reason = "retry_budget"
	// UpstreamStatus means that the upstream responded with one of the route's retry statuses. If the later attempts give
	// no response, the request ends as may-have-run with this reason.
	UpstreamStatus Reason = "upstream_status"
	// RetryAttempts means that the request reached its maximum number of attempts.
	RetryAttempts Reason = "retry_attempts"
)

// Reasons returns every reason, in declaration order.
func Reasons() []Reason {
	return []Reason{
		NoRoute, PathAmbiguous, RouteUnsupported, NoTarget, SlotsFull, QueueDeadline, TargetDraining, TargetStarting, TargetOnTrial, TargetDoubtful, TargetUnknown, AttemptFenced,
		AttemptDuplicate, AdmitExpired, WrongIncarnation, UpstreamShed, UpstreamUnreachable, NodeUnreachable,
		NodeStopping, NotReady, Overloaded, DeadlineExceeded, BodyTooLarge, BodyIncomplete, BadRequest, KeyMissing, KeyInvalid,
		KeyReused, StoreUnavailable, Quarantined, LinkBudget, RepeatsSpent, AcceptorStopping, CallerGone,
		APIKeyRequired, APIKeyUnknown, AccountsUnknown, AccessUnchecked, QuotaExceeded, QuotaUnavailable,
		UpstreamLost, UpstreamTimeout, NodeLost, AnswerIncomplete, AnswerDropped, ClaimRunning, ClaimHolderLost,
		TicketLost, TicketUnreachable, CallerCancelled, ShutdownCutoff,
		RetryBudget, UpstreamStatus, RetryAttempts,
	}
}
