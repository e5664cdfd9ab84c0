package statement

import "github.com/sardinereach/sardinereach/internal/declaration"

// AnyDigest is the AccountDeclaration.Digest of a declaration without an expected digest.
const AnyDigest = ""

// AccountDeclaration is the content of a "declare account" block.
type AccountDeclaration struct {
	// Account is the declared account. Its key hashes are sorted.
	Account declaration.Account
	// Digest is the expected digest of the account as it is, NoAccount if it must not exist yet, or AnyDigest.
	Digest string
	// Place is the position of the account's name in the text.
	Place Position
	// KeyPlaces are the positions of the key hashes, in the order of Account.KeyHashes.
	KeyPlaces []Position
}
