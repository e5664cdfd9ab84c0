package operator

// Outcomes of the change of one service.
const (
	// OutcomeCreated means that the service did not exist before.
	OutcomeCreated = "created"
	// OutcomeChanged means that the service has a new revision.
	OutcomeChanged = "changed"
	// OutcomeUnchanged means that the service is as declared already.
	OutcomeUnchanged = "unchanged"
	// OutcomeConflict means that another change came first. Nothing was changed.
	OutcomeConflict = "conflict"
	// OutcomeRejected means that the change is dangerous, or failed for the reason given.
	OutcomeRejected = "rejected"
)
