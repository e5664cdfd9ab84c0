package operator

// Outcomes of the change of one service.
const (
	// OutcomeCreated means that the service did not exist before.
	OutcomeCreated = "created"
	// OutcomeChanged means that the service has a new revision.
	OutcomeChanged = "changed"
	// OutcomeUnchanged means that the service already matches the declaration.
	OutcomeUnchanged = "unchanged"
	// OutcomeConflict means that the service is not at the expected revision. Nothing was changed.
	OutcomeConflict = "conflict"
	// OutcomeRejected means that the change is dangerous and was not forced, or that it failed. The error text of the
	// response has the reason.
	OutcomeRejected = "rejected"
)
