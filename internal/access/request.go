package access

import "github.com/sardinereach/sardinereach/internal/account"

// Request is what decides on the access of a request.
type Request struct {
	// RequiresKey means that the route requires the API key of a client account.
	RequiresKey bool
	Credential  Credential
	// Finding is what the configuration says of the credential's API key. It is not used without one.
	Finding account.Finding
	Parent  Parent
	// BindsAccount means that the request names an operation, which is another one for each account.
	BindsAccount bool
	// Configured means that the node has a complete configuration.
	Configured bool
}
