package settings

// Interface selects the protocols used with callers, upstreams and the store.
type Interface string

const (
	// InterfaceOwn selects the project's own protocols.
	InterfaceOwn Interface = "own"
	// InterfacePlatform selects the protocols of the users' platform.
	InterfacePlatform Interface = "platform"
)
