package node

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/quarantine"
	"github.com/sardinereach/sardinereach/internal/routing"
)

// requestIdentity is what tells a request that crashes its upstreams from others. Two requests with equal identities are the same
// request, sent again. What changes from one try to the next, like request IDs, deadlines and other headers, is not part
// of it, nor is the node that accepts it.
type requestIdentity struct {
	// host is that of the route, empty if the route matches every host. With the path it selects the service. Callers may reach a
	// route without a host under the addresses of all nodes, so the Host header itself is not part of the identity.
	host string
	// caller is the service on whose behalf the request is sent, empty if upstreams are not told.
	caller model.ServiceName
	method string
	// uri is path and query.
	uri  string
	body []byte
	// account is the client account of the request, empty for none.
	account model.AccountName
}

// fingerprint returns a hash of the identity. The fields are hashed with their lengths, so that no two sequences of fields give the
// same bytes.
func (i requestIdentity) fingerprint() quarantine.Fingerprint {
	digest := xxhash.New()
	for _, field := range []string{routing.CanonicalHost(i.host), string(i.caller), i.method, i.uri} {
		writeLength(digest, len(field))
		// The digest never returns an error.
		_, _ = digest.WriteString(field)
	}
	writeLength(digest, len(i.body))
	_, _ = digest.Write(i.body)
	if i.account != "" {
		writeLength(digest, len(i.account))
		_, _ = digest.WriteString(string(i.account))
	}
	return quarantine.Fingerprint(digest.Sum64())
}

func writeLength(digest *xxhash.Digest, length int) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(length))
	_, _ = digest.Write(buffer[:])
}
