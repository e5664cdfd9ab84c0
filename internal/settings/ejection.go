package settings

// Ejection says when suspected targets are left out.
type Ejection struct {
	// Detector means that targets are also judged by comparison with the other targets of their service, and ejected then.
	// Without it their admission points alone judge them.
	Detector bool
	// Permits makes an ejection on all nodes need a permit in the store. Without, each node leaves out the targets that
	// their admitting nodes suspect.
	Permits bool
	// FloorShare is the share of a service's announced slots that is kept in use, for services without a greater floor.
	FloorShare float64
}
