package framing

// tokenSymbols are the characters of a token beside letters and digits (RFC 9110, section 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

var tokenBytes = newTokenBytes()

func newTokenBytes() (allowed [256]bool) {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for _, c := range []byte(letters + "0123456789" + tokenSymbols) {
		allowed[c] = true
	}
	return allowed
}

// IsToken reports whether the text is a token, which the name of a field has to be.
func IsToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return len(text) > 0
}
