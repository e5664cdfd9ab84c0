package peer

// Body returns the body of a request. It is called at most once, after the attempt was admitted, because the accepting
// node may send the body only then.
type Body func() ([]byte, error)

// Bytes returns a Body that returns the given bytes.
func Bytes(body []byte) Body { return func() ([]byte, error) { return body, nil } }
