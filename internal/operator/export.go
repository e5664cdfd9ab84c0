package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Export implements the API. Every block names its revision, so that applying the text later meets a conflict if
// another change came in between.
func (s *Server) Export(context.Context, *connect.Request[operatorv1.ExportRequest]) (*connect.Response[operatorv1.ExportResponse], error) {
	snapshot := s.fleet.Snapshot()
	var declarations []statement.Declaration
	for _, facts := range snapshot.Services {
		declarations = append(declarations, statement.Declaration{Service: facts.Service, Revision: facts.Revision})
	}
	slices.SortFunc(declarations, func(a, b statement.Declaration) int {
		return strings.Compare(string(a.Service.Name), string(b.Service.Name))
	})
	text := exportHead(snapshot) + statement.Format(declarations...)
	return connect.NewResponse(&operatorv1.ExportResponse{Declarations: text, Revision: snapshot.ConfigRevision}), nil
}

// exportHead says in comments how fresh the text is. A configuration does not depend on other nodes, so that silent
// nodes do not make it partial.
func exportHead(snapshot *Snapshot) string {
	var head strings.Builder
	fmt.Fprintf(&head, "# node %s, configuration revision %d\n", snapshot.Node, snapshot.ConfigRevision)
	for _, warning := range incompleteWarnings(snapshot) {
		fmt.Fprintf(&head, "# %s\n", warning)
	}
	return head.String()
}
