package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
)

func (s *Server) show(query *statement.Show) (*operatorv1.ExecuteResponse, error) {
	snapshot := s.fleet.Snapshot()
	rows := s.rows(query.Kind, snapshot)
	slices.SortStableFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	table := statement.Table{Columns: statement.Columns(query.Kind), Rows: rows}
	selected, err := query.Select(table)
	if err != nil {
		return nil, err
	}
	answer := tableAnswer(selected)
	answer.Freshness = freshnessOf(snapshot)
	answer.Warnings = append(partialWarnings(snapshot), scopeWarnings(query.Kind, snapshot)...)
	return answer, nil
}

// rows returns all rows of a kind. The cells are in the order of statement.Columns.
func (s *Server) rows(kind statement.Kind, snapshot *Snapshot) [][]string {
	switch kind {
	case statement.Services:
		return s.serviceRows(snapshot)
	case statement.Targets:
		return targetRows(snapshot)
	case statement.Nodes:
		return nodeRows(snapshot)
	case statement.Routes:
		return routeRows(snapshot)
	case statement.Ejections:
		return ejectionRows(snapshot)
	case statement.Refusals:
		return reasonRows(snapshot.Refusals)
	case statement.Retries:
		return reasonRows(snapshot.Retries)
	case statement.Revisions:
		return revisionRows(snapshot)
	case statement.Quarantine:
		return quarantineRows(snapshot)
	case statement.Accounts:
		return accountRows(snapshot)
	}
	return nil
}

// scopeWarnings returns a warning if counts do not cover all nodes, because nodes do not gossip their counts.
func scopeWarnings(kind statement.Kind, snapshot *Snapshot) []string {
	counts := snapshot.Refusals
	switch kind {
	case statement.Refusals:
	case statement.Retries:
		counts = snapshot.Retries
	default:
		return nil
	}
	covered := make(map[model.NodeID]bool)
	for _, count := range counts {
		covered[count.Node] = true
	}
	if len(covered) >= len(snapshot.Nodes) {
		return nil
	}
	return []string{fmt.Sprintf("the counts cover %d of %d nodes, each since its start", len(covered), len(snapshot.Nodes))}
}

func tableAnswer(table statement.Table) *operatorv1.ExecuteResponse {
	answer := new(operatorv1.ExecuteResponse)
	for _, column := range table.Columns {
		answer.Columns = append(answer.Columns, &operatorv1.Column{Name: column.Name})
	}
	for _, row := range table.Rows {
		answer.Rows = append(answer.Rows, &operatorv1.Row{Cells: row})
	}
	return answer
}
