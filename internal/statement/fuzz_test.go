package statement_test

import (
	"reflect"
	"testing"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// Guards against a panic, and against an error without a place in the text.
func FuzzParse(f *testing.F) {
	f.Add(`show targets where slots >= 3 columns target, slots sort by slots desc limit 5`)
	f.Add(`declare service s at revision 3 { floor 2 slots; route GET "/a" host h { class idempotent; } }`)
	f.Add("explain request GET \"/\\x00\" host é # c")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := statement.Parse(text)
		checkFaults(t, text, err)
		if err == nil && parsed.Verb() == "" {
			t.Errorf("statement without a verb: %+v", parsed)
		}
	})
}

// Guards against a panic, and against accepted declarations that Format does not reproduce.
func FuzzDeclarations(f *testing.F) {
	f.Add("# c\ndeclare service a { policy default failure_rate 0.5; }\ndeclare service b { prefer x, \"y z\"; }")
	f.Add(`declare service s { route M-SEARCH, GET "/\xff" { timeout 1m30s; first_byte 5ms; retry on 503; fail on 500, 599; priority bulk; }; }`)
	f.Fuzz(func(t *testing.T, text string) {
		declarations, err := statement.ParseDeclarations(text)
		checkFaults(t, text, err)
		if err != nil {
			return
		}
		formatted := statement.Format(declarations...)
		again, err := statement.ParseDeclarations(formatted)
		if err != nil || len(again) != len(declarations) {
			t.Fatalf("%q is formatted as %q: %v", text, formatted, err)
		}
		for i := range again {
			again[i].Line = declarations[i].Line
			if !reflect.DeepEqual(again[i], declarations[i]) {
				t.Errorf("%q is formatted as %q: %+v, want %+v", text, formatted, again[i], declarations[i])
			}
		}
	})
}

func checkFaults(t *testing.T, text string, err error) {
	if err == nil {
		return
	}
	faults, ok := err.(statement.Errors)
	if !ok || len(faults) == 0 {
		t.Fatalf("%q: error %T without faults", text, err)
	}
	for _, fault := range faults {
		if fault.Line < 1 || fault.Column < 1 || fault.Mark(text) == "" {
			t.Errorf("%q: fault without a place: %+v", text, fault)
		}
	}
}
