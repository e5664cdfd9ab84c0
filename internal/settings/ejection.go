package settings

// Ejection configures the failure detector and the ejection of suspected targets.
type Ejection struct {
	// Detector enables the failure detector, which compares each target with the other targets of its service. Suspected
	// targets are ejected. If false, no failure detector runs, and only the circuit breakers of their admission points
	// assess the targets.
	Detector bool
	// Permits requires a permit in the store for a fleet-wide ejection. If false, each node avoids the targets that their
	// admitting nodes report as suspected.
	Permits bool
	// FloorShare is the share of a service's announced slots that stays in use. A greater capacity floor of the service
	// takes precedence.
	FloorShare float64
}
