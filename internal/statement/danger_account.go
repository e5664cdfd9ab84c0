package statement

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// AccountDangers returns the effects of a change of an account that the operator must confirm before it is applied, one sentence
// each. A nil account is one that is not declared.
func AccountDangers(from, to *declaration.Account) []string {
	if from == nil {
		return nil
	}
	if to == nil {
		return accountRemovalDangers(from)
	}
	var dangers []string
	for _, hash := range MissingKeys(to.KeyHashes, from.KeyHashes) {
		dangers = append(dangers, fmt.Sprintf("the key %s is withdrawn, so that requests with it are refused from then on", KeyID(hash)))
	}
	return dangers
}

func accountRemovalDangers(from *declaration.Account) []string {
	if len(from.KeyHashes) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("the removal of account %s withdraws its keys (%d), so that requests with them are refused from then on", from.Name, len(from.KeyHashes))}
}
