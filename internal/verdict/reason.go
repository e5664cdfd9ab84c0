package verdict

// Reason is the stable code of a refusal, a failure or a retry. Callers see it in the Sardinereach-Reason header,
// operators in the counters and logs.
type Reason string

// Reasons with the verdict NotRun.
const (
	// NoRoute means that no route matches the method and path.
	NoRoute Reason = "no_route"
	// NoTarget means that the service has no target that may be tried.
	NoTarget Reason = "no_target"
	// SlotsFull means that all slots of the target and its queue are in use.
	SlotsFull Reason = "slots_full"
	// QueueDeadline means that the request could not get a slot before its deadline.
	QueueDeadline Reason = "queue_deadline"
	// TargetDraining means that the target takes no new work because it is leaving.
	TargetDraining Reason = "target_draining"
	// TargetStarting means that the target is not ready yet.
	TargetStarting Reason = "target_starting"
	// TargetOnTrial means that the target is suspected and takes only a few idempotent requests as trials.
	TargetOnTrial Reason = "target_on_trial"
	// TargetDoubtful means that the last runs at the target failed or took too long, and that the target takes a few
	// idempotent requests alone.
	TargetDoubtful Reason = "target_doubtful"
	// TargetUnknown means that the admitting node does not serve the target.
	TargetUnknown Reason = "target_unknown"
	// AttemptFenced means that the attempt was fenced before it was admitted.
	AttemptFenced Reason = "attempt_fenced"
	// AttemptDuplicate means that the attempt ID was admitted or refused before.
	AttemptDuplicate Reason = "attempt_duplicate"
	// AdmitExpired means that the latest admission time of the attempt has passed.
	AdmitExpired Reason = "admit_expired"
	// WrongIncarnation means that the attempt was meant for an earlier incarnation of the node.
	WrongIncarnation Reason = "wrong_incarnation"
	// UpstreamShed means that the upstream declared that it did not run the request.
	UpstreamShed Reason = "upstream_shed"
	// UpstreamUnreachable means that no connection to the upstream could be opened.
	UpstreamUnreachable Reason = "upstream_unreachable"
	// NodeUnreachable means that no connection to the admitting node could be opened.
	NodeUnreachable Reason = "node_unreachable"
	// NodeStopping means that the node is shutting down and takes no new work.
	NodeStopping Reason = "node_stopping"
	// NotReady means that the node has no complete configuration yet.
	NotReady Reason = "not_ready"
	// Overloaded means that the accepting node holds its maximum of requests.
	Overloaded Reason = "overloaded"
	// DeadlineExceeded means that the deadline passed before the request was dispatched.
	DeadlineExceeded Reason = "deadline_exceeded"
	// BodyTooLarge means that the request body is over the limit.
	BodyTooLarge Reason = "body_too_large"
	// BodyIncomplete means that the caller did not send its whole body.
	BodyIncomplete Reason = "body_incomplete"
	// BadRequest means that a header of the request is malformed.
	BadRequest Reason = "bad_request"
	// KeyMissing means that a non-idempotent request has neither an idempotency key nor a ticket.
	KeyMissing Reason = "key_missing"
	// KeyInvalid means that the idempotency key or the ticket is malformed.
	KeyInvalid Reason = "key_invalid"
	// KeyReused means that the key or ticket was used with a different request.
	KeyReused Reason = "key_reused"
	// StoreUnavailable means that a claim could not be made because the store did not answer.
	StoreUnavailable Reason = "store_unavailable"
	// Quarantined means that the request's fingerprint has crashed upstreams.
	Quarantined Reason = "quarantined"
	// LinkBudget means that only targets in other regions are usable and the link's byte budget is spent.
	LinkBudget Reason = "link_budget"
	// RepeatsSpent means that the admission point has taken as many repeats as its part of the service's retry budget allows.
	RepeatsSpent Reason = "repeats_spent"
	// CallerGone means that the caller closed its connection before the request was dispatched.
	CallerGone Reason = "caller_gone"
)

// Reasons with the verdict MayHaveRun.
const (
	// UpstreamLost means that the connection to the upstream broke while the request may have been running.
	UpstreamLost Reason = "upstream_lost"
	// UpstreamTimeout means that the upstream did not answer in time.
	UpstreamTimeout Reason = "upstream_timeout"
	// NodeLost means that the admitting node was lost, and its attempt records with it.
	NodeLost Reason = "node_lost"
	// AnswerIncomplete means that the answer broke off, or that its end cannot be told.
	AnswerIncomplete Reason = "answer_incomplete"
	// AnswerDropped means that the request ran, but its answer is no longer held.
	AnswerDropped Reason = "answer_dropped"
	// ClaimRunning means that another attempt under the same key is still running.
	ClaimRunning Reason = "claim_running"
	// ClaimHolderLost means that the node that claimed the key was lost before it recorded an outcome.
	ClaimHolderLost Reason = "claim_holder_lost"
	// TicketLost means that the incarnation that issued the ticket is gone, or that the ticket has expired.
	TicketLost Reason = "ticket_lost"
	// TicketUnreachable means that the node that issued the ticket did not answer.
	TicketUnreachable Reason = "ticket_unreachable"
	// CallerCancelled means that the caller closed its connection while the request may have been running.
	CallerCancelled Reason = "caller_cancelled"
)

// Reasons for which the accepting node stops or limits retries.
const (
	// RetryBudget means that the retry budget of the service is spent.
	RetryBudget Reason = "retry_budget"
	// UpstreamStatus means that the upstream answered with one of the route's retry statuses. A request whose later
	// attempts gave no answer ends as may-have-run with this reason.
	UpstreamStatus Reason = "upstream_status"
	// RetryAttempts means that the request reached its maximum number of attempts.
	RetryAttempts Reason = "retry_attempts"
)

// Reasons returns every reason, in the order of their declaration.
func Reasons() []Reason {
	return []Reason{
		NoRoute, NoTarget, SlotsFull, QueueDeadline, TargetDraining, TargetStarting, TargetOnTrial, TargetDoubtful, TargetUnknown, AttemptFenced,
		AttemptDuplicate, AdmitExpired, WrongIncarnation, UpstreamShed, UpstreamUnreachable, NodeUnreachable,
		NodeStopping, NotReady, Overloaded, DeadlineExceeded, BodyTooLarge, BodyIncomplete, BadRequest, KeyMissing, KeyInvalid,
		KeyReused, StoreUnavailable, Quarantined, LinkBudget, RepeatsSpent, CallerGone,
		UpstreamLost, UpstreamTimeout, NodeLost, AnswerIncomplete, AnswerDropped, ClaimRunning, ClaimHolderLost,
		TicketLost, TicketUnreachable, CallerCancelled,
		RetryBudget, UpstreamStatus, RetryAttempts,
	}
}
