package fleettest

// Domain is a failure domain with its region.
type Domain struct {
	Name   string
	Region string
}

// Service is one service of a layout.
type Service struct {
	Name string
	// Targets is the number of targets; each has a VM of its own with a daemon.
	Targets int
	// Slots is the number of slots of each target.
	Slots int
	// Path is the path of the service's route.
	Path string
}

// Layout is a fleet before it starts.
type Layout struct {
	Domains  []Domain
	Services []Service
	// Declarations is what the operator applies.
	Declarations string
}

// domainOf places target j of service s, so that the targets of a service alternate between the regions.
func (l *Layout) domainOf(s, j int) Domain {
	half := len(l.Domains) / 2
	if half == 0 {
		return l.Domains[0]
	}
	return l.Domains[j%2*half+(s+j/2)%half]
}
