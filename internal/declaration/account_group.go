package declaration

import (
	"bytes"
	"encoding/json"
	"io"

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

// Encode validates the accounts and returns the group's canonical JSON.
func (g *AccountGroup) Encode() ([]byte, error) {
	for i := range g.Accounts {
		if err := g.Accounts[i].Validate(); err != nil {
			return nil, err
		}
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

// DecodeAccountGroup parses and validates the canonical JSON of a group, for a change of its accounts. A field that this build does
// not know is an error, because the changed group would lack it.
func DecodeAccountGroup(data []byte) (*AccountGroup, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	g := new(AccountGroup)
	if err := decoder.Decode(g); err != nil {
		return nil, errors.Wrap(withoutValue(err), "account group")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("account group: more data after the document")
	}
	if err := g.validate(); err != nil {
		return nil, errors.Wrap(err, "account group")
	}
	return g, nil
}

func (g *AccountGroup) validate() error {
	seen := make(map[model.AccountName]bool, len(g.Accounts))
	for i := range g.Accounts {
		account := &g.Accounts[i]
		if err := account.Validate(); err != nil {
			return err
		}
		if seen[account.Name] {
			return errors.Errorf("account %s is declared twice", account.Name)
		}
		seen[account.Name] = true
	}
	return nil
}

// withoutValue returns an error of package json without the value that it quotes, which may be an API key in the wrong place.
func withoutValue(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return errors.Errorf("field %s at byte %d has a value of another type", typeError.Field, typeError.Offset)
	}
	return err
}
