package fleettest

// Domain is a failure domain with its region.
type Domain struct {
	Name   string
	Region string
}

// Service is one service of a layout.
type Service struct {
	Name string
	// Targets is the number of targets. Each runs on its own VM together with a daemon.
	Targets int
	// Slots is the number of slots of each target.
	Slots int
	// Path is the path of the service's route.
	Path string
}

// Layout describes the failure domains and services of a fleet.
type Layout struct {
	Domains  []Domain
	Services []Service
	// Declarations is the text that the operator applies.
	Declarations string
}

// domainOf returns the failure domain of target j of service s. The targets of a service alternate between the regions,
// which are the two halves of Domains.
func (l *Layout) domainOf(s, j int) Domain {
	half := len(l.Domains) / 2
	if half == 0 {
		return l.Domains[0]
	}
	return l.Domains[j%2*half+(s+j/2)%half]
}
