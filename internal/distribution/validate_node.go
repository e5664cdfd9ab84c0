package distribution

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// maxIncarnation bounds the incarnation in a member record, which is a time in microseconds. It is the limit up to which
// JSON numbers are exact. A greater one would make nodes ignore all later records of the node.
const maxIncarnation = 1 << 53

// validateNode returns an error that names the invalid field of a member record, or nil. The addresses of callers and
// operators are optional.
func validateNode(node model.Node) error {
	if node.ID == "" {
		return errors.New("member record: the ID is empty")
	}
	if node.Incarnation > maxIncarnation {
		return errors.Errorf("member record: incarnation %d is over %d", node.Incarnation, uint64(maxIncarnation))
	}
	if !isAddress(node.PeerAddress) {
		return errors.Errorf("member record: peer address %q: use IP:port", node.PeerAddress)
	}
	for _, address := range []string{node.CallerAddress, node.OperatorAddress} {
		if address != "" && !isAddress(address) {
			return errors.Errorf("member record: address %q: use IP:port", address)
		}
	}
	return nil
}

func isAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0
}
