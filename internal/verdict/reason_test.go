package verdict

import (
	"go/ast"
	"go/parser"
	"go/token"
	"testing"
)

// Guards against a reason constant that Reasons does not return. Such a reason has no counter.
func TestReasonsAreComplete(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	declared := 0
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			declared += len(spec.Names)
		}
		return true
	})
	seen := map[Reason]bool{}
	for _, reason := range Reasons() {
		if seen[reason] {
			t.Errorf("reason %q is listed twice", reason)
		}
		seen[reason] = true
	}
	if len(seen) != declared {
		t.Errorf("Reasons returns %d reasons, %d are declared", len(seen), declared)
	}
}
