package statement_test

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
)

func drawAccount(t *rapid.T) declaration.Account {
	account := declaration.Account{Name: model.AccountName(rapid.StringMatching(`[!-~]{1,12}`).Draw(t, "name"))}
	keys := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-f]{1,3}`), 0, 4, rapid.ID[string]).Draw(t, "keys")
	for _, key := range keys {
		account.KeyHashes = append(account.KeyHashes, declaration.HashKey(key))
	}
	account.KeyHashes = statement.SortedKeys(account.KeyHashes)
	if rapid.Bool().Draw(t, "ranked") {
		rank := rapid.IntRange(0, 9).Draw(t, "rank")
		account.Rank = &rank
	}
	if rapid.Bool().Draw(t, "limited") {
		account.RatePerSecond = rapid.Float64Range(1e-6, 1e9).Draw(t, "rate")
		account.Burst = rapid.Float64Range(0, 1e9).Draw(t, "burst")
	}
	return account
}

// Guards against an export of accounts that cannot be applied or that changes them, and against a change that neither the
// differences nor the digest show.
func TestAccountRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account, other := drawAccount(t), drawAccount(t)
		declared := statement.AccountDeclaration{Account: account, Digest: statement.Digest(&account)}
		text := statement.Format(statement.Declaration{Account: &declared})
		parsed, err := statement.ParseDeclarations(text)
		if err != nil || !reflect.DeepEqual(parsed[0].Account.Account, account) || parsed[0].Account.Digest != declared.Digest {
			t.Fatalf("%s\ngives %+v, %v", text, parsed, err)
		}
		equal := reflect.DeepEqual(account, other)
		if equal != (len(statement.DiffAccounts(&account, &other)) == 0) || equal != (statement.Digest(&account) == statement.Digest(&other)) {
			t.Fatalf("equal %v: differences %v", equal, statement.DiffAccounts(&account, &other))
		}
	})
}

// Guards against invalid accounts that the parser accepts, and against errors with the wrong position.
func TestAccountErrors(t *testing.T) {
	cases := map[string]string{
		`declare account "a b" { }`:                                        `line 1 column 17: account name "a b": use 1 to 200 printable ASCII`,
		`declare account "" { }`:                                           `line 1 column 17: the account is empty`,
		`declare account é { }`:                                            `line 1 column 17: account name "é"`,
		"declare account " + strings.Repeat("a", 201):                      `line 1 column 218: the text ends too early`,
		`declare account a at digest x { }`:                                `line 1 column 29: the digest "x" is neither none`,
		`declare account a at revision 1 { }`:                              `line 1 column 19: unexpected "at"; expected {`,
		`declare account a { floor 1 slots; }`:                             `line 1 column 21: unexpected "floor"; expected key, rank, rate, }`,
		`declare service a { key x; }`:                                     `line 1 column 21: unexpected "key"; expected floor, policy`,
		`declare account a { rank -1; }`:                                   `line 1 column 26: the rank -1 is not a whole number from 0`,
		`declare account a { rank 1; rank 1; }`:                            `line 1 column 29: rank is given before in line 1`,
		`declare account a { rate -1; }`:                                   `line 1 column 26: the rate -1 is not a number`,
		`declare account a { rate NaN; }`:                                  `line 1 column 26: the rate NaN is not a number`,
		`declare account a { rate 2e9; }`:                                  `line 1 column 26: the rate 2e9 is not a number from 0 to 1e+09`,
		`declare account a { rate 0; }`:                                    `line 1 column 26: a rate of 0 is not valid; leave the rate out`,
		`declare account a { rate 1 burst -0.5; }`:                         `line 1 column 34: the burst -0.5 is not a number`,
		`declare account a { burst 1; }`:                                   `line 1 column 21: unexpected "burst"; expected key, rank, rate, }`,
		"declare account a { }\ndeclare account a { }":                     `line 2 column 17: the account a is declared before in line 1`,
		"declare account a { key " + hashOfK + ";\nkey " + hashOfK + "; }": `line 2 column 5: the key glTDKa is given before in line 1`,
		"declare account a { key " + hashOfK + "; }\ndeclare account b {\n key " + hashOfK + "; }": `line 3 column 6: the key glTDKa of account b is a key of account a as well, declared in line 1`,
		`declare service s { route "/" { requires keys; } }`:                                       `line 1 column 42: unknown requirement "keys"; use key; did you mean "key"?`,
	}
	for text, want := range cases {
		_, err := statement.ParseDeclarations(text)
		expectError(t, text, err, want)
	}
	if declarations, err := statement.ParseDeclarations("declare service a { } declare account a { }"); err != nil || len(declarations) != 2 {
		t.Errorf("a service and an account of one name: %v", err)
	}
}

// Guards against an API key in place of a hash that passes for one, or that the error or the line shown with it repeats.
func TestErrorsDoNotRepeatKeys(t *testing.T) {
	const key = "s3cretS3cretS3cret0123"
	odd := []string{key, `"` + key + `"`, `"` + key, key + "=" + key, key + "!", key + ";" + key, key + "#" + key, "sha256:" + key + key, key + " " + key,
		`"\q` + key + `"`, "=" + key, "{" + key, key + "," + key, "sha256:" + key + "=", "account " + key, "rank " + key}
	for _, word := range odd {
		for _, text := range []string{
			"add key " + word + " to account a", "withdraw key " + word + " from account a", "add kye " + word + " to account a", "add " + word,
			"withdraw " + word + " from account a", "declare account a { key " + word + "; }",
			"declare account a { key " + hashOfK + ", " + word + "; rank 1; }", "declare account a { key " + hashOfK + ",\n\t" + word + "; rank x; }",
			"ad key " + word + " to account a", "revoke key " + word + " from account a", "remove key " + word + " from account a",
			"declare account a { keys " + word + "; }", "declare account a { key: " + word + "; }",
			"declare account a { rank 1; api_key " + word + "; }",
			"declare account a at digest none key " + word + ";", "declare account key { KEY\n" + word + "; }",
			"declare account a; add " + word, "declare account a { }\nadd key " + word,
		} {
			_, err := statement.Parse(text)
			expectNoKey(t, text, key, err)
			_, err = statement.ParseDeclarations("declare service s { }\n" + text)
			expectNoKey(t, "declare service s { }\n"+text, key, err)
		}
	}
}

func expectNoKey(t *testing.T, text, key string, err error) {
	t.Helper()
	parseErrors, ok := err.(statement.Errors)
	if !ok {
		t.Errorf("%s: accepted, %v", text, err)
		return
	}
	for _, parseError := range parseErrors {
		if shown := parseError.Error() + parseError.Snippet(text); strings.Contains(shown, key) {
			t.Errorf("%s: the error shows the key: %s", text, shown)
		}
	}
}

// Guards against a line that is shown with an error and hides more than what may be a key.
func TestSnippetShowsTheRest(t *testing.T) {
	for text, want := range map[string]string{
		"add key s3cret to account a b":                                   "add key ****** to account a *",
		"add key " + hashOfK + " to acount a":                             "add key " + hashOfK + " to ****** *",
		"declare account a { key s3;cret; rank 1; rate 5 burst 10; }":     "declare account a { key **;****; rank 1; rate 5 burst 10; }",
		"ad key s3cret to account a":                                      "ad key ****** to account a",
		"declare account key { ranck 1; keys s3cret; rank 1; }":           "declare account key { ranck 1; keys ******; rank 1; }",
		"declare service s { keys 7; }":                                   "declare service s { keys 7; }",
		"show keys where account = a":                                     "show keys where account = a",
		"withdraw ejection off t":                                         "withdraw ejection off t",
		"show nodes where node = key and nod = add":                       "show nodes where node = key and nod = add",
		`declare service s { route "/key" { class idempotnt; } }`:         `declare service s { route "/key" { class idempotnt; } }`,
		"declare service s { route \"/\" { requires key; class both; } }": "declare service s { route \"/\" { requires key; class both; } }",
	} {
		_, err := statement.Parse(text)
		parseErrors, ok := err.(statement.Errors)
		if !ok {
			t.Fatalf("%s: %v", text, err)
		}
		if got, _, _ := strings.Cut(parseErrors[0].Snippet(text), "\n"); got != want {
			t.Errorf("%s: shown as %s, want %s", text, got, want)
		}
	}
}

// Guards against a change of an account, or of a route that requires a key, without the operator's confirmation.
func TestAccessDangers(t *testing.T) {
	routes := []struct{ name, from, to, want string }{
		{"requirement dropped", `route "/a" { requires key; }`, `route "/a";`, `GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS "/a" no longer requires`},
		{"narrower route", `route "/" { requires key; }`, `route "/" { requires key; } route GET "/a";`, `GET "/a" no longer`},
		{"route removed", `route "/"; route POST "/a" { requires key; }`, `route "/";`, `POST "/a" no longer`},
		{"route and fallback removed", `route "/a" { requires key; }`, ``, ``},
		{"requirement added", `route "/a";`, `route "/a" { requires key; }`, ``},
		{"new open route", `route "/a" { requires key; }`, `route "/a" { requires key; } route "/b";`, ``},
	}
	for _, c := range routes {
		got := strings.Join(statement.Dangers(service(t, c.from), service(t, c.to), statement.UnknownCapacity), "\n")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: dangers %q, want %q", c.name, got, c.want)
		}
	}
	bare, keyed := &declaration.Account{Name: "a"}, &declaration.Account{Name: "a", KeyHashes: []declaration.KeyHash{declaration.HashKey("k")}}
	for name, c := range map[string]struct {
		from, to *declaration.Account
		want     int
	}{
		"new": {nil, keyed, 0}, "key added": {bare, keyed, 0}, "key dropped": {keyed, bare, 1}, "removed": {keyed, nil, 1}, "removed without keys": {bare, nil, 0},
	} {
		if got := statement.AccountDangers(c.from, c.to); len(got) != c.want {
			t.Errorf("%s: dangers %q, want %d", name, got, c.want)
		}
	}
}
