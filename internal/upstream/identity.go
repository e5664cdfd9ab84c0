package upstream

import (
	"net/netip"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// maxStartTimeAhead is how far a start time may lie in the future. Clocks differ by seconds. A start time far in the future
// would make the node ignore the announcements of every later start of the target.
const maxStartTimeAhead = time.Hour

// ValidateStart returns an error that names the invalid part of the identity of one start of a target, or nil. startTimeMS
// is the start time in milliseconds since 1970, 0 if it is not known.
func ValidateStart(target model.TargetID, startTimeMS int64, now time.Time) error {
	if err := validateTarget(target); err != nil {
		return err
	}
	if startTimeMS < 0 || startTimeMS > now.Add(maxStartTimeAhead).UnixMilli() {
		return errors.Errorf("start time %d ms: use the milliseconds since 1970", startTimeMS)
	}
	return nil
}

func validateTarget(target model.TargetID) error {
	if !idPattern.MatchString(string(target)) {
		return errors.Errorf("target %q: use 1 to 128 letters, digits, '.', '_' or '-'", target)
	}
	return nil
}

func validateAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return errors.Errorf("address %q: use IP:port with a port of 1 to 65535", address)
	}
	return nil
}
