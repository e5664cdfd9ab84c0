package statement

import "github.com/sardinereach/sardinereach/internal/declaration"

// AnyRevision as Declaration.Revision means that the declaration names no revision.
const AnyRevision int64 = -1

// Declaration is one "declare service" block.
type Declaration struct {
	// Service has an empty list of draining targets: a drain is a command and no part of the language.
	Service declaration.Service
	// Revision is the revision at which the service is expected, 0 if it must not exist, or AnyRevision.
	Revision int64
	// Line is the line of the block's first word, from 1.
	Line int
}
