package statement

import "github.com/sardinereach/sardinereach/internal/declaration"

// AnyRevision is the Declaration.Revision of a declaration without an expected revision.
const AnyRevision int64 = -1

// Declaration is one "declare service" or "declare account" block.
type Declaration struct {
	// Account is the declared client account, nil in the declaration of a service. The other fields except Line are those of a
	// service.
	Account *AccountDeclaration
	// Service is the declared service. The parser leaves Service.Draining empty, because a target is drained by a
	// command and not by the declaration.
	Service declaration.Service
	// Revision is the expected current revision of the service, 0 if the service must not exist yet, or AnyRevision.
	Revision int64
	// Line is the line on which the block begins, starting at 1.
	Line int
}

// Title returns the kind and the name of what is declared.
func (d *Declaration) Title() string {
	if d.Account != nil {
		return "account " + string(d.Account.Account.Name)
	}
	return "service " + string(d.Service.Name)
}
