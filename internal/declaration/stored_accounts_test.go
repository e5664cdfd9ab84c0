package declaration

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// secret stands for an API key that was written where a hash belongs.
const secret = "k3y-that-must-not-be-shown"

func hashText(key string) string {
	text, _ := HashKey(key).MarshalText()
	return string(text)
}

// Guards against an account that is applied without a restriction that this build does not understand, one that takes the others out,
// keys that are lost with it, and a key in an error.
func TestOddAccountBecomesUnsupportedAlone(t *testing.T) {
	good := `{"name":"good","key_hashes":["` + hashText("g") + `"]}`
	keys := `"key_hashes":["` + hashText("a") + `","` + hashText("b") + `"]`
	for name, odd := range map[string]struct {
		json        string
		keys        int
		unknownKeys bool
	}{
		"unknown field":       {`{"name":"odd",` + keys + `,"only_from":["10.0.0.0/8"]}`, 2, false},
		"unknown requirement": {`{"name":"odd",` + keys + `,"requires":["later"]}`, 2, false},
		"negative rate":       {`{"name":"odd",` + keys + `,"rate_per_second":-1}`, 2, false},
		"text as rate":        {`{"name":"odd",` + keys + `,"rate_per_second":"` + secret + `"}`, 2, false},
		"huge rate":           {`{"name":"odd",` + keys + `,"burst":1e999}`, 2, false},
		"null rate":           {`{"name":"odd",` + keys + `,"burst":null}`, 2, false},
		"name breaks headers": {`{"name":"a\r\nb",` + keys + `}`, 2, false},
		"long name":           {`{"name":"` + strings.Repeat("a", 201) + `",` + keys + `}`, 2, false},
		"name as a number":    {`{"name":7,` + keys + `}`, 2, false},
		"no name":             {`{` + keys + `}`, 2, false},
		"key as a hash":       {`{"name":"odd","key_hashes":["` + hashText("a") + `","` + secret + `"]}`, 1, true},
		"number as a hash":    {`{"name":"odd","key_hashes":[12345678]}`, 0, true},
		"null as a hash":      {`{"name":"odd","key_hashes":[null]}`, 0, true},
		"hashes as an object": {`{"name":"odd","key_hashes":{"` + secret + `":1}}`, 0, true},
		"hashes given twice":  {`{"name":"odd",` + keys + `,"key_hashes":["` + hashText("c") + `"]}`, 3, false},
		"unknown keys":        {`{"name":"odd",` + keys + `,"keys_unknown":true}`, 2, true},
		"not an object":       {`"` + secret + `"`, 0, true},
		"null":                {`null`, 0, true},
	} {
		document := `{"accounts":[` + good + `,` + odd.json + `]}`
		g, err := DecodeStoredAccountGroup([]byte(document))
		if err != nil || len(g.Accounts) != 2 {
			t.Errorf("%s: %+v, %v", name, g, err)
			continue
		}
		if g.Accounts[0].Unsupported != "" || len(g.Accounts[0].KeyHashes) != 1 {
			t.Errorf("%s: the other account is %+v", name, g.Accounts[0])
		}
		account := &g.Accounts[1]
		if account.Unsupported == "" || len(account.KeyHashes) != odd.keys || account.HasUnknownKeys() != odd.unknownKeys {
			t.Errorf("%s: account %+v, want %d keys, unknown ones %t", name, account, odd.keys, odd.unknownKeys)
		}
		_, strict := DecodeAccountGroup([]byte(document))
		if strict == nil {
			t.Errorf("%s: accepted from an operator", name)
		} else if strings.Contains(strict.Error()+account.Unsupported, secret) || strings.Contains(strict.Error()+account.Unsupported, "12345678") {
			t.Errorf("%s: the key is shown: %q, %v", name, account.Unsupported, strict)
		}
	}
}

// Guards against a group that comes into force in part although what is wrong with it may concern all of its accounts.
func TestOddAccountGroupIsAnError(t *testing.T) {
	for _, document := range []string{
		``, `{`, `null`, `[]`, `{}`, `{"accounts":null}x`, `{"change_id":"x"}`, `{"accounts":{}}`, `{"accounts":7}`, `{"accounts":[],"accounts":[]}`,
		`{"accounts":[],"Accounts":[]}`, `{"accounts":[],"later":1}`, `{"accounts":[],"change_id":null}`,
		strings.Repeat(`[`, 20_000), `{"accounts":` + strings.Repeat(`[`, 20_000),
	} {
		if g, err := DecodeStoredAccountGroup([]byte(document)); err == nil {
			t.Errorf("%.40s: decoded as %+v", document, g)
		}
		if _, err := DecodeAccountGroup([]byte(document)); err == nil {
			t.Errorf("%.40s: accepted from an operator", document)
		}
	}
}

// Guards against a guess between two declarations of one account.
func TestAccountDeclaredTwiceIsUnsupported(t *testing.T) {
	document := `{"accounts":[{"name":"a","key_hashes":["` + hashText("1") + `"]},{"name":"a","rank":1},{"name":"b"}]}`
	g, err := DecodeStoredAccountGroup([]byte(document))
	if err != nil || g.Accounts[0].Unsupported == "" || g.Accounts[1].Unsupported == "" || g.Accounts[2].Unsupported != "" {
		t.Errorf("%+v, %v", g, err)
	}
	if len(g.Accounts[0].KeyHashes) != 1 {
		t.Error("the keys are lost")
	}
}

// Guards against an encoded group that is read as another one, and one that is written although it is not valid.
func TestAccountGroupIsEncodedAndDecoded(t *testing.T) {
	rank := 2
	g := AccountGroup{ChangeID: "n1.7.1", Accounts: []Account{
		{Name: "a", KeyHashes: []KeyHash{HashKey("1"), HashKey("2")}, Rank: &rank, RatePerSecond: 1.5, Burst: 3},
		{Name: "b c", Unsupported: "later", KeysUnknown: true},
	}}
	encoded, err := g.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, decode := range map[string]func([]byte) (*AccountGroup, error){"stored": DecodeStoredAccountGroup, "strict": DecodeAccountGroup} {
		decoded, err := decode(encoded)
		if err != nil || decoded.ChangeID != g.ChangeID ||
			!slices.EqualFunc(decoded.Accounts, g.Accounts, func(a, b Account) bool { return a.Equal(&b) }) {
			t.Errorf("%s: %+v, %v", name, decoded, err)
		}
	}
	for _, accounts := range [][]Account{{{Name: "a b"}}, {{Name: ""}}, {{Name: "a"}, {Name: "a"}}, {{Name: "a", Requires: []string{"later"}}}} {
		if _, err := (&AccountGroup{Accounts: accounts}).Encode(); err == nil {
			t.Errorf("%+v is encoded", accounts)
		}
	}
}

// Guards against a stored group that ends the node, one that is accepted from an operator and read otherwise from the store, and an
// account in force that is not valid.
func FuzzDecodeStoredAccountGroup(f *testing.F) {
	f.Add([]byte(`{"accounts":[{"name":"a","key_hashes":["` + hashText("1") + `"],"rank":1},{"name":"a"},7,null]}`))
	f.Add([]byte(`{"accounts":[{"name":"a","key_hashes":[null],"name":"b","unsupported":"x"}],"change_id":"c"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		g, err := DecodeStoredAccountGroup(data)
		strict, strictErr := DecodeAccountGroup(data)
		if err != nil {
			if strictErr == nil {
				t.Errorf("valid for an operator, but %v", err)
			}
			return
		}
		for i := range g.Accounts {
			if account := &g.Accounts[i]; account.Unsupported == "" && account.Validate() != nil {
				t.Errorf("account %+v is in force", account)
			}
		}
		if strictErr != nil {
			return
		}
		lenient, _ := json.Marshal(g)
		if exact, _ := json.Marshal(strict); string(exact) != string(lenient) {
			t.Errorf("decoded as %s, want %s", lenient, exact)
		}
	})
}
