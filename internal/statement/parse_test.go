package statement_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// hashOfK is the hash of the API key k in the language.
var hashOfK = statement.FormatKeyHash(declaration.HashKey("k"))

// Guards against a statement that is parsed to the wrong meaning, such as a quoted or keyword-like name.
func TestParse(t *testing.T) {
	cases := map[string]statement.Statement{
		`show targets`: &statement.Show{Kind: statement.Targets},
		`show targets where service = "proof room" and slots >= 3 columns target, slots sort by slots desc limit 5;`: &statement.Show{
			Kind: statement.Targets,
			Where: []statement.Condition{
				{Column: "service", Operator: statement.Equal, Value: "proof room"},
				{Column: "slots", Operator: statement.GreaterOrEqual, Value: "3"},
			},
			Columns: []string{"target", "slots"}, SortBy: "slots", Descending: true, Limit: 5,
		},
		`show services where service = limit limit 1`: &statement.Show{
			Kind:  statement.Services,
			Where: []statement.Condition{{Column: "service", Operator: statement.Equal, Value: "limit"}},
			Limit: 1,
		},
		`explain request GET "/proofs?a=b" host h.example`: &statement.Explain{Method: "GET", Path: "/proofs?a=b", Host: "h.example"},
		`explain request POST /pay`:                        &statement.Explain{Method: "POST", Path: "/pay"},
		"drain target t-1 force # now":                     &statement.Drain{Target: "t-1", Force: true},
		`drain target force`:                               &statement.Drain{Target: "force"},
		`drain target "a b"`:                               &statement.Drain{Target: "a b"},
		`restore target t`:                                 &statement.Restore{Target: "t"},
		`remove service s force`:                           &statement.Remove{Service: "s", Force: true},
		`forbid request 9f`:                                &statement.Forbid{Fingerprint: "9f"},
		`release request 9f`:                               &statement.Release{Fingerprint: "9f"},
		"withdraw\nejection of t":                          &statement.Withdraw{Target: "t"},
		"add key " + hashOfK + " to account a/B;":          &statement.AddKey{Hash: declaration.HashKey("k"), Account: "a/B", Place: statement.Position{Line: 1, Column: 50}},
		`withdraw key "` + hashOfK + `" from account to`:   &statement.WithdrawKey{Hash: declaration.HashKey("k"), Account: "to", Place: statement.Position{Line: 1, Column: 59}},
		`remove account account force`:                     &statement.RemoveAccount{Account: "account", Place: statement.Position{Line: 1, Column: 16}, Force: true},
	}
	for text, want := range cases {
		got, err := statement.Parse(text)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v, want %+v", text, got, err, want)
		}
	}
}

// Guards against an error with the wrong position, and against a missing suggestion when a valid word is similar.
func TestStatementErrors(t *testing.T) {
	cases := map[string]string{
		``:                                     `line 1 column 1: the text ends too early; expected show`,
		`shwo nodes`:                           `line 1 column 1: unexpected "shwo"; .*; did you mean "show"?`,
		`show`:                                 `line 1 column 5: the text ends too early; expected services, targets`,
		"show\n  nodse":                        `line 2 column 3: unknown table "nodse"; .*; did you mean "nodes"?`,
		`show nodes wher node = a`:             `line 1 column 12: unexpected "wher"; .*; did you mean "where"?`,
		`show nodes where nod = a`:             `line 1 column 18: unknown column of nodes "nod"; .*; did you mean "node"?`,
		`show nodes where node`:                `line 1 column 22: the text ends too early; expected one of = != < <= > >= ~`,
		`show nodes where targets = x`:         `line 1 column 28: the column targets holds numbers, and "x" is none`,
		`show nodes where targets ~ 3`:         `line 1 column 26: the column targets holds numbers`,
		`show nodes limit 0`:                   `line 1 column 18: the limit 0 is not a whole number above 0`,
		`show nodes sort node`:                 `line 1 column 17: unexpected "node"; expected by`,
		`show "nodes`:                          `line 1 column 6: a string is not closed`,
		`show nodes limit !`:                   `line 1 column 18: unexpected character '!'`,
		`drain target "\q"`:                    `line 1 column 14: the string "\q" has an invalid escape sequence`,
		`drain target ""`:                      `line 1 column 14: the target is empty`,
		`drain t`:                              `line 1 column 7: unexpected "t"; expected target`,
		`drain target t forc`:                  `line 1 column 16: unexpected "forc"; did you mean "force"?`,
		`explain request get /`:                `line 1 column 17: the method "get" is not in upper-case letters`,
		`explain request GET x`:                `line 1 column 21: the path "x" does not begin with '/'`,
		`forbid request ärger zwei`:            `line 1 column 22: unexpected "zwei"`,
		`declare service s { } show nodes`:     `line 1 column 23: unexpected "show"; expected the end of the statement`,
		`withdraw ejection t`:                  `line 1 column 19: unexpected "t"; expected of`,
		`declare servic s { }`:                 `line 1 column 9: unexpected "servic"; expected service, account; did you mean "service"?`,
		`remove acount a`:                      `line 1 column 8: unexpected "acount"; expected service, account; did you mean "account"?`,
		`withdraw a`:                           `line 1 column 10: this is not a key hash`,
		`show nodes columns nod, rgion, state`: `line 1 column 25: unknown column of nodes "rgion"; .*; did you mean "region"?`,
	}
	for text, want := range cases {
		_, err := statement.Parse(text)
		expectError(t, text, err, want)
	}
}

// Guards against invalid declarations that the parser accepts, and against errors with the wrong position.
func TestDeclarationErrors(t *testing.T) {
	cases := map[string]string{
		`show nodes`:                                           `line 1 column 1: unexpected "show"; expected declare`,
		"declare service S { }":                                `line 1 column 17: service name "S"`,
		"declare service s {\n flor 3 slots; }":                `line 2 column 2: unexpected "flor"; .*; did you mean "floor"?`,
		"declare service s { floor 3; }":                       `line 1 column 28: unexpected ";"; expected slots`,
		"declare service s { floor -3 slots; }":                `line 1 column 27: the floor -3 is not a whole number`,
		"declare service s { floor 1 slots; floor 1 slots; }":  `line 1 column 36: floor is given before in line 1`,
		"declare service s at revision x { }":                  `line 1 column 31: the revision x is not a whole number`,
		"declare service s { policy hoon; }":                   `line 1 column 28: unknown policy "hoon"; .*; did you mean "huon"?`,
		"declare service s { policy huon failure_rate nan; }":  `line 1 column 46: the rate nan is not a number above 0`,
		"declare service s { prefer a, a; }":                   `line 1 column 31: the region a is preferred twice`,
		"declare service s { route /a; }":                      `line 1 column 29: unexpected ";"; expected a path in quotes`,
		`declare service s { route "a"; }`:                     `line 1 column 27: the path "a" does not begin with '/'`,
		`declare service s { route get "/"; }`:                 `line 1 column 27: the method "get" is not in upper-case`,
		`declare service s { route "/" { class idempotnt; } }`: `line 1 column 39: unknown class "idempotnt"; .*; did you mean "idempotent"?`,
		`declare service s { route "/" { timeut 3s; } }`:       `line 1 column 33: unexpected "timeut"; .*; did you mean "timeout"?`,
		`declare service s { route "/" { timeout 3; } }`:       `line 1 column 41: the time 3 is not valid`,
		`declare service s { route "/" { retry on 200; } }`:    `line 1 column 42: the status 200 is not a whole number from 400`,
		`declare service s { route "/"; route "/"; }`:          `line 1 column 32: the route is declared before in line 1`,
		"declare service s { }\ndeclare service s { }":         `line 2 column 17: the service s is declared before in line 1`,
		"declare service s {":                                  `line 1 column 20: the text ends too early; expected floor`,
	}
	for text, want := range cases {
		_, err := statement.ParseDeclarations(text)
		expectError(t, text, err, want)
	}
}

// expectError splits want at ".*" and checks that the text of the error contains each part.
func expectError(t *testing.T, text string, err error, want string) {
	t.Helper()
	if err == nil {
		t.Errorf("%q: no error, want %q", text, want)
		return
	}
	for _, part := range strings.Split(want, ".*") {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q: error %q lacks %q", text, err, part)
		}
	}
}

// Guards against a builder that stops at the first of several errors.
func TestAllErrorsAreReported(t *testing.T) {
	_, err := statement.ParseDeclarations("declare service s { floor x slots; policy y; }\ndeclare service T { }")
	parseErrors, ok := err.(statement.Errors)
	if !ok || len(parseErrors) != 3 {
		t.Fatalf("%v, want 3 errors", err)
	}
	if got := parseErrors[1].Snippet("declare service s {\tfloor x slots; policy y; }"); !strings.HasSuffix(got, "\n"+strings.Repeat(" ", 42)+"^") {
		t.Errorf("snippet:\n%s", got)
	}
}
