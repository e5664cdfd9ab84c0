package statement_test

import (
	"reflect"
	"testing"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// Guards against a panic of the parser, and against an error without a position in the text.
func FuzzParse(f *testing.F) {
	f.Add(`show targets where slots >= 3 columns target, slots sort by slots desc limit 5`)
	f.Add(`declare service s at revision 3 { floor 2 slots; route GET "/a" host h { class idempotent; } }`)
	f.Add("explain request GET \"/\\x00\" host é # c")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := statement.Parse(text)
		checkErrorPositions(t, text, err)
		if err == nil && parsed.Verb() == "" {
			t.Errorf("statement without a verb: %+v", parsed)
		}
	})
}

// Guards against a panic of the parser, and against valid declarations that change when they are formatted and parsed.
func FuzzDeclarations(f *testing.F) {
	f.Add("# c\ndeclare service a { policy default failure_rate 0.5; }\ndeclare service b { prefer x, \"y z\"; }")
	f.Add(`declare service s { route M-SEARCH, GET "/\xff" { timeout 1m30s; first_byte 5ms; retry on 503; fail on 500, 599; priority bulk; }; }`)
	f.Add("declare account a at digest none { key sha256:1nMG_RnWT8hDpXjHjBG-Cg; rank 0; rate 1e3 burst 2; key sha256:rhwjWHy4UhXL7aIKbYqGBA; }")
	f.Fuzz(func(t *testing.T, text string) {
		declarations, err := statement.ParseDeclarations(text)
		checkErrorPositions(t, text, err)
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
			usePlaces(again[i].Account, declarations[i].Account)
			if !reflect.DeepEqual(again[i], declarations[i]) {
				t.Errorf("%q is formatted as %q: %+v, want %+v", text, formatted, again[i], declarations[i])
			}
		}
	})
}

// usePlaces gives an account the positions that it has in another text.
func usePlaces(account, other *statement.AccountDeclaration) {
	if account != nil && other != nil && len(account.KeyPlaces) == len(other.KeyPlaces) {
		account.Place, account.KeyPlaces = other.Place, other.KeyPlaces
	}
}

func checkErrorPositions(t *testing.T, text string, err error) {
	if err == nil {
		return
	}
	parseErrors, ok := err.(statement.Errors)
	if !ok || len(parseErrors) == 0 {
		t.Fatalf("%q: error of type %T is not a non-empty Errors", text, err)
	}
	for _, parseError := range parseErrors {
		if parseError.Line < 1 || parseError.Column < 1 || parseError.Snippet(text) == "" {
			t.Errorf("%q: error without a position: %+v", text, parseError)
		}
	}
}
