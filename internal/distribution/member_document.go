package distribution

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// memberDocument is the value of a member record in the store.
type memberDocument struct {
	model.Node
	// Departures are those that the node has acknowledged, in any incarnation.
	Departures []model.Departure `json:",omitempty"`
}

func (m memberDocument) encode() ([]byte, error) {
	value, err := json.Marshal(m)
	return value, errors.Wrap(err, "member record")
}

// decodeMember decodes a member record. It returns false if the record or its key is not valid.
func decodeMember(kv store.KV) (memberDocument, bool) {
	var member memberDocument
	if err := json.Unmarshal(kv.Value, &member); err != nil {
		return member, false
	}
	valid := validateNode(member.Node) == nil && strings.HasPrefix(kv.Key, MemberPrefix)
	return member, valid && kv.Key == MemberKey(member.Node)
}
