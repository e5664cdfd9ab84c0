package declaration_test

import (
	"strings"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Guards against a change of one account that drops what another build has stored for the accounts of its group.
func TestDecodeAccountGroupIsStrict(t *testing.T) {
	rank := 2
	group := declaration.AccountGroup{ChangeID: "n1.7.1", Accounts: []declaration.Account{
		{Name: "a", KeyHashes: []declaration.KeyHash{declaration.HashKey("k")}, Rank: &rank, RatePerSecond: 1.5, Burst: 3}, {Name: "b"},
	}}
	data, err := group.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := declaration.DecodeAccountGroup(data)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := decoded.Encode(); err != nil || string(again) != string(data) {
		t.Errorf("%s is encoded again as %s, %v", data, again, err)
	}
	for _, text := range []string{
		``, `{`, `[]`, `{"accounts":[{"name":"a","later":1}]}`, `{"later":1}`, `{"accounts":[]} x`, `{"accounts":[{"name":""}]}`,
		`{"accounts":[{"name":"a"},{"name":"a"}]}`, `{"accounts":[{"name":"a","burst":-1}]}`, `{"accounts":{}}`,
	} {
		if _, err := declaration.DecodeAccountGroup([]byte(text)); err == nil {
			t.Errorf("%q is decoded", text)
		}
	}
}

// Guards against an API key that was stored in place of its hash and that the error repeats.
func TestErrorsOfAccountGroupsDoNotRepeatKeys(t *testing.T) {
	for key, value := range map[string]string{"s3cret-key": `"s3cret-key"`, "12345678": `12345678`, "s3cret": `{"s":"s3cret"}`} {
		_, err := declaration.DecodeAccountGroup([]byte(`{"accounts":[{"name":"a","key_hashes":[` + value + `]}]}`))
		if err == nil || strings.Contains(err.Error(), key) {
			t.Errorf("error %v", err)
		}
	}
}
