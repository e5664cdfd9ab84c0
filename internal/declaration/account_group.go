package declaration

import (
	"encoding/json"

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
