package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Export implements operatorv1.OperatorHandler. Every block includes its revision or digest, so that applying the text later
// fails with a conflict if the service or the account was changed since.
func (s *Server) Export(context.Context, *connect.Request[operatorv1.ExportRequest]) (*connect.Response[operatorv1.ExportResponse], error) {
	snapshot := s.fleet.Snapshot()
	var declarations []statement.Declaration
	for _, service := range snapshot.Services {
		declarations = append(declarations, statement.Declaration{Service: service.Service, Revision: service.Revision})
	}
	slices.SortFunc(declarations, func(a, b statement.Declaration) int {
		return strings.Compare(string(a.Service.Name), string(b.Service.Name))
	})
	declarations = append(declarations, exportedAccounts(snapshot)...)
	text := exportHeader(snapshot) + statement.Format(declarations...)
	return connect.NewResponse(&operatorv1.ExportResponse{Declarations: text, Revision: snapshot.ConfigRevision}), nil
}

func exportedAccounts(snapshot *Snapshot) []statement.Declaration {
	var declarations []statement.Declaration
	accounts := snapshot.accounts()
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		account := *accounts[name]
		account.KeyHashes = statement.SortedKeys(account.KeyHashes)
		declared := &statement.AccountDeclaration{Account: account, Digest: statement.Digest(&account)}
		declarations = append(declarations, statement.Declaration{Account: declared})
	}
	return declarations
}

// exportHeader returns comment lines with the node, its configuration revision and warnings. Unresponsive nodes do not
// make the text partial, because the configuration does not depend on other nodes.
func exportHeader(snapshot *Snapshot) string {
	var header strings.Builder
	fmt.Fprintf(&header, "# node %s, configuration revision %d\n", snapshot.Node, snapshot.ConfigRevision)
	for _, warning := range incompleteWarnings(snapshot) {
		fmt.Fprintf(&header, "# %s\n", warning)
	}
	return header.String()
}
