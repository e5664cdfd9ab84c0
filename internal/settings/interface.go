package settings

// Interface names a set of protocols towards callers, upstreams and the store.
type Interface string

const (
	// InterfaceOwn is the project's own set.
	InterfaceOwn Interface = "own"
	// InterfacePlatform is that of the users' platform.
	InterfacePlatform Interface = "platform"
)
