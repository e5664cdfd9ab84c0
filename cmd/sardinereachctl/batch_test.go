package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// Guards against batches that split or omit a service, and against a large file that is sent as one batch.
func TestBatches(t *testing.T) {
	var declarations []statement.Declaration
	for i := range 10 {
		service := declaration.Service{Name: model.ServiceName(fmt.Sprint("s", i)), Routes: []declaration.Route{}}
		declarations = append(declarations, statement.Declaration{Service: service, Revision: int64(i)})
	}
	block := len(statement.Format(declarations[0]))
	texts := batches(declarations, 3*block)
	if len(texts) != 4 {
		t.Errorf("%d batches, want 4 of at most 3 services", len(texts))
	}
	all, err := statement.ParseDeclarations(strings.Join(texts, ""))
	if err != nil || len(all) != 10 || all[9].Revision != 9 {
		t.Errorf("the batches contain %d services, %v", len(all), err)
	}
	if got := len(batches(declarations, 1)); got != 10 {
		t.Errorf("%d batches with a limit smaller than one service, want 10", got)
	}
}

// Guards against a large file whose accounts make a node write each group once for each batch, and whose routes require keys before the
// accounts are in force.
func TestBatchesKeepGroupsTogether(t *testing.T) {
	declarations := []statement.Declaration{{Service: declaration.Service{Name: "s", Routes: []declaration.Route{}}, Revision: statement.AnyRevision}}
	for i := range 640 {
		account := declaration.Account{Name: model.AccountName(fmt.Sprint("a", i))}
		declarations = append(declarations, statement.Declaration{Account: &statement.AccountDeclaration{Account: account}})
	}
	texts := batches(declarations, 2000)
	writes, accounts := 0, 0
	for _, text := range texts {
		parsed, err := statement.ParseDeclarations(text)
		if err != nil {
			t.Fatal(err)
		}
		groups := make(map[int]bool)
		for i := range parsed {
			if parsed[i].Account != nil {
				groups[declaration.GroupOf(parsed[i].Account.Account.Name)] = true
				accounts++
			}
		}
		writes += len(groups)
	}
	if accounts != 640 || len(texts) < 4 || writes > declaration.AccountGroups+len(texts) {
		t.Errorf("%d accounts in %d batches with %d writes", accounts, len(texts), writes)
	}
	if !strings.Contains(texts[len(texts)-1], "declare service s") {
		t.Error("the service is not in the last batch")
	}
}

// Guards against a merged response that reports the active and behind nodes of an older revision.
func TestMerge(t *testing.T) {
	newest := &operatorv1.ApplyResponse{Changes: []*operatorv1.ServiceChange{{}}, Revision: 9, NodesBehind: []string{"n2"}, NodesInForce: 1}
	older := &operatorv1.ApplyResponse{Changes: []*operatorv1.ServiceChange{{}}, Revision: 4, NodesInForce: 2}
	got := mergeResponses(mergeResponses(nil, newest), older)
	if len(got.Changes) != 2 || got.Revision != 9 || len(got.NodesBehind) != 1 || got.NodesInForce != 1 {
		t.Errorf("merged %v", got)
	}
}
