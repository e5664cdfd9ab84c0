package declaration

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// DecodeStoredAccountGroup parses a group that another build may have written. An account that this build does not understand becomes
// unsupported and keeps its name and the key hashes that can be read. What is wrong with the group itself is an error: its accounts
// are not known.
func DecodeStoredAccountGroup(data []byte) (*AccountGroup, error) {
	if g := decodeCanonicalAccounts(data); g != nil {
		return g, nil
	}
	g, err := decodeAccountsApart(data)
	if err != nil {
		return nil, errors.Wrap(err, "account group")
	}
	g.markRepeated()
	return g, nil
}

// decodeCanonicalAccounts decodes a group that this build would encode the same, as decodeCanonical does. It returns nil for any
// other.
func decodeCanonicalAccounts(data []byte) *AccountGroup {
	g := new(AccountGroup)
	if json.Unmarshal(data, g) != nil || g.Validate() != nil {
		return nil
	}
	if encoded, err := json.Marshal(g); err != nil || !bytes.Equal(encoded, data) {
		return nil
	}
	return g
}

// groupOfAccounts is an AccountGroup whose accounts are not decoded.
type groupOfAccounts struct {
	Accounts json.RawMessage `json:"accounts"`
	ChangeID string          `json:"change_id"`
}

// errNoAccounts is the error for a group without its list of accounts.
var errNoAccounts = errors.New("no list of accounts")

// decodeAccountsApart decodes each account on its own.
func decodeAccountsApart(data []byte) (*AccountGroup, error) {
	var raw groupOfAccounts
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, withoutValue(err)
	}
	if err := checkFields(data, reflect.TypeFor[groupOfAccounts]()); err != nil {
		return nil, err
	}
	var accounts []json.RawMessage
	if raw.Accounts == nil || json.Unmarshal(raw.Accounts, &accounts) != nil {
		return nil, errNoAccounts
	}
	g := &AccountGroup{ChangeID: raw.ChangeID}
	if accounts != nil {
		g.Accounts = make([]Account, 0, len(accounts))
	}
	for _, account := range accounts {
		g.Accounts = append(g.Accounts, decodeStoredAccount(account))
	}
	return g, nil
}

// decodeStoredAccount decodes an account. One that this build does not understand becomes unsupported.
func decodeStoredAccount(raw json.RawMessage) Account {
	var account Account
	err := json.Unmarshal(raw, &account)
	if err != nil {
		err = withoutValue(err)
	} else if err = checkFields(raw, reflect.TypeFor[Account]()); err == nil {
		err = account.Validate()
	}
	if err != nil {
		return unsupportedAccount(raw, err)
	}
	return account
}

// unsupportedAccount returns the unsupported account with what can be read of an encoded account. Of a field that is given twice, it
// takes the keys of all values and the last name.
func unsupportedAccount(raw json.RawMessage, reason error) Account {
	account := Account{Unsupported: reason.Error()}
	fields, err := jsonFields(raw)
	account.KeysUnknown = err != nil
	for _, field := range fields {
		switch field.name {
		case "name":
			account.Name = readName(field.value)
		case "key_hashes":
			hashes, all := readKeyHashes(field.value)
			account.KeyHashes = append(account.KeyHashes, hashes...)
			account.KeysUnknown = account.KeysUnknown || !all
		case "keys_unknown":
			account.KeysUnknown = account.KeysUnknown || string(field.value) != "false"
		}
	}
	return account
}

// readName returns the name of an account, "" if it cannot be read or is not valid.
func readName(raw json.RawMessage) model.AccountName {
	var name string
	if json.Unmarshal(raw, &name) != nil || !accountNamePattern.MatchString(name) {
		return ""
	}
	return model.AccountName(name)
}

// readKeyHashes returns the hashes of a list that can be read, and whether these are all.
func readKeyHashes(raw json.RawMessage) (hashes []KeyHash, all bool) {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return nil, false
	}
	all = true
	for _, item := range list {
		var text *string
		var hash KeyHash
		if json.Unmarshal(item, &text) != nil || text == nil || hash.UnmarshalText([]byte(*text)) != nil {
			all = false
			continue
		}
		hashes = append(hashes, hash)
	}
	return hashes, all
}

// markRepeated makes all accounts with the same name unsupported.
func (g *AccountGroup) markRepeated() {
	count := make(map[model.AccountName]int, len(g.Accounts))
	for i := range g.Accounts {
		count[g.Accounts[i].Name]++
	}
	for i := range g.Accounts {
		if account := &g.Accounts[i]; count[account.Name] > 1 {
			account.MarkUnsupported(errors.New("declared twice"))
		}
	}
}

// MarkUnsupported makes the account unsupported for the given reason, unless it is. Its keys stay known.
func (a *Account) MarkUnsupported(reason error) {
	if a.Unsupported != "" {
		return
	}
	*a = Account{Name: a.Name, KeyHashes: slices.Clone(a.KeyHashes), Unsupported: reason.Error()}
}
