package statement

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

const (
	// KeyHashPrefix begins every key hash in the language. Without it, an API key of the same length would pass for a hash.
	KeyHashPrefix = "sha256:"
	// keyIDLength is the number of characters of a hash that tell the keys of a fleet apart.
	keyIDLength = 6
)

// errNotKeyHash is the error of a word in place of a key hash. The word may be an API key, so that the error does not repeat it.
var errNotKeyHash = errors.New(`this is not a key hash; use what "sardinereachctl hash-key" prints, sha256: and 22 characters, and never the API key itself`)

// FormatKeyHash returns the hash as the language writes it.
func FormatKeyHash(hash declaration.KeyHash) string {
	return KeyHashPrefix + hashText(hash)
}

// KeyID returns the first characters of a hash, by which operators tell keys apart.
func KeyID(hash declaration.KeyHash) string { return hashText(hash)[:keyIDLength] }

func hashText(hash declaration.KeyHash) string {
	// MarshalText of a hash has no error.
	text, _ := hash.MarshalText()
	return string(text)
}

// parseKeyHash returns errNotKeyHash for a text that FormatKeyHash does not return.
func parseKeyHash(text string) (declaration.KeyHash, error) {
	var hash declaration.KeyHash
	encoded, ok := strings.CutPrefix(text, KeyHashPrefix)
	if !ok || hash.UnmarshalText([]byte(encoded)) != nil || hashText(hash) != encoded {
		return declaration.KeyHash{}, errNotKeyHash
	}
	return hash, nil
}
