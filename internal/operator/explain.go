package operator

import (
	"fmt"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/statement"
)

var explainColumns = []string{"target", "node", "region", "domain", "picked", "why"}

func (s *Server) explain(query *statement.Explain) *operatorv1.ExecuteResponse {
	snapshot := s.fleet.Snapshot()
	explanation := s.fleet.Explain(ExplainRequest{Method: query.Method, Path: query.Path, Host: query.Host})
	answer := &operatorv1.ExecuteResponse{
		Message:   summary(&explanation),
		Freshness: freshnessOf(snapshot),
		Warnings:  partialWarnings(snapshot),
	}
	if len(explanation.Candidates) == 0 {
		return answer
	}
	for _, name := range explainColumns {
		answer.Columns = append(answer.Columns, &operatorv1.Column{Name: name})
	}
	for _, candidate := range explanation.Candidates {
		answer.Rows = append(answer.Rows, candidateRow(candidate))
	}
	return answer
}

func candidateRow(candidate Candidate) *operatorv1.Row {
	picked := "no"
	if candidate.Picked {
		picked = "yes"
	}
	return &operatorv1.Row{Cells: []string{
		string(candidate.Target), string(candidate.Node), string(candidate.Region), string(candidate.Domain), picked,
		candidate.Why,
	}}
}

// summary returns the decision on the request in one line.
func summary(e *Explanation) string {
	if e.Route == nil {
		return fmt.Sprintf("refused: %s", orElse(e.Refusal, "no_route"))
	}
	place := fmt.Sprintf("service %s, route %s, class %s, %s", e.Service, e.Route.Path, e.Class, accessText(e.Route.RequiresKey))
	if e.Refusal != "" {
		return fmt.Sprintf("%s: refused: %s", place, e.Refusal)
	}
	for _, candidate := range e.Candidates {
		if candidate.Picked {
			return fmt.Sprintf("%s: target %s", place, candidate.Target)
		}
	}
	return place + ": refused: no_target"
}

func accessText(requiresKey bool) string {
	if requiresKey {
		return "API key required"
	}
	return "no API key required"
}
