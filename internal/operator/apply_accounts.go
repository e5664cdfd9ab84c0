package operator

import (
	"context"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// accountApply is the application of the accounts of one request. The accounts of a group are written together, because each write
// replaces the whole document of the group.
type accountApply struct {
	server  *Server
	dryRun  bool
	force   bool
	changes []*accountChange
}

// newAccountApply returns the application of those declarations that declare accounts.
func newAccountApply(server *Server, declarations []statement.Declaration, dryRun, force bool) *accountApply {
	a := &accountApply{server: server, dryRun: dryRun, force: force}
	for i := range declarations {
		if account := declarations[i].Account; account != nil {
			a.changes = append(a.changes, newAccountChange(account, force))
		}
	}
	return a
}

// run returns the results in the order of the declarations.
func (a *accountApply) run(ctx context.Context) []*operatorv1.ServiceChange {
	if len(a.changes) == 0 {
		return nil
	}
	holders := newKeyHolders(a.server.fleet, a.hashes())
	groups := make(map[int]*groupChange)
	for _, change := range a.changes {
		number := declaration.GroupOf(change.name)
		group := groups[number]
		if group == nil {
			group = &groupChange{server: a.server, group: number, holders: holders, dryRun: a.dryRun}
			groups[number] = group
		}
		group.edits = append(group.edits, &change.accountEdit)
	}
	for number := range declaration.AccountGroups {
		if group := groups[number]; group != nil {
			group.run(ctx)
		}
	}
	results := make([]*operatorv1.ServiceChange, len(a.changes))
	for i, change := range a.changes {
		results[i] = change.result(groups[declaration.GroupOf(change.name)].revision)
	}
	a.emitConflicts(results)
	return results
}

func (a *accountApply) hashes() []declaration.KeyHash {
	var hashes []declaration.KeyHash
	for _, change := range a.changes {
		hashes = append(hashes, change.wanted.Account.KeyHashes...)
	}
	return hashes
}

func (a *accountApply) emitConflicts(results []*operatorv1.ServiceChange) {
	conflicts := 0
	for _, result := range results {
		if result.Outcome == OutcomeConflict {
			conflicts++
		}
	}
	if conflicts > 0 {
		a.server.emit(events.AccountsConflict, events.CountField(conflicts))
	}
}
