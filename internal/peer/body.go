package peer

// Body returns the body of a request. It is called once at most, after the attempt was admitted: the accepting node may
// send a body only then.
type Body func() ([]byte, error)

// Bytes returns a Body that is at hand.
func Bytes(body []byte) Body { return func() ([]byte, error) { return body, nil } }
