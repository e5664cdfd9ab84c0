package declaration

import (
	"encoding/json"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// AccountGroups is the number of groups into which accounts are divided. It is part of the stored format.
const AccountGroups = 64

// AccountGroup is the stored form of the accounts of one group, in one document.
type AccountGroup struct {
	// Accounts are sorted by name.
	Accounts []Account `json:"accounts"`
	// ChangeID identifies the write, as in Document.
	ChangeID string `json:"change_id,omitempty"`
}

// GroupOf returns the group of the account, 0 to AccountGroups-1.
func GroupOf(name model.AccountName) int {
	return int(xxhash.Sum64String(string(name)) % AccountGroups)
}

// Validate returns nil, or an error that names the account that is not valid.
func (g *AccountGroup) Validate() error {
	seen := make(map[model.AccountName]bool, len(g.Accounts))
	for i := range g.Accounts {
		account := &g.Accounts[i]
		if err := account.Validate(); err != nil {
			return err
		}
		if seen[account.Name] {
			return errors.Errorf("account %s is declared twice", shorten(string(account.Name)))
		}
		seen[account.Name] = true
	}
	return nil
}

// Encode validates the accounts and returns the group's canonical JSON.
func (g *AccountGroup) Encode() ([]byte, error) {
	if err := g.Validate(); err != nil {
		return nil, err
	}
	data, err := json.Marshal(g)
	if err != nil {
		return nil, errors.Wrap(err, "account group")
	}
	if len(data) > maxDocumentBytes {
		return nil, errors.Errorf("account group: document of %d bytes is over the store's %d", len(data), maxDocumentBytes)
	}
	return data, nil
}

// DecodeAccountGroup parses a group for an operator's command and validates its accounts. Whatever this build does not know is an
// error: a write of what is understood alone would remove it.
func DecodeAccountGroup(data []byte) (*AccountGroup, error) {
	g := new(AccountGroup)
	if err := json.Unmarshal(data, g); err != nil {
		return nil, errors.Wrap(withoutValue(err), "account group")
	}
	if err := checkFields(data, reflect.TypeFor[AccountGroup]()); err != nil {
		return nil, errors.Wrap(err, "account group")
	}
	if fields, err := jsonFields(data); err != nil || !hasField(fields, "accounts") {
		return nil, errors.Wrap(errNoAccounts, "account group")
	}
	if err := g.Validate(); err != nil {
		return nil, err
	}
	return g, nil
}

// withoutValue returns an error for the same field as an error of package json, without the value, which may be a key by mistake.
func withoutValue(err error) error {
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeError) && typeError.Field == "":
		return errNotObject
	case errors.As(err, &typeError):
		return errors.Errorf("field %q has a value of another type", withoutEmbedded(typeError.Field))
	case errors.Is(err, errKeyHash):
		return err
	}
	return errors.New("not valid JSON")
}

// withoutEmbedded returns the path of a field in JSON, without the names of the embedded structs that package json puts before it.
func withoutEmbedded(path string) string {
	return strings.TrimPrefix(strings.TrimPrefix(path, "Document."), "Service.")
}
