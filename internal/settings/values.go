package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Units of sizes, in bytes.
const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// maxDuration bounds every duration in the settings.
const maxDuration = 24 * time.Hour

// minTokenBytes is long enough that guessing a token over the network is infeasible.
const minTokenBytes = 16

const (
	validName     = "1 to 63 lower-case letters, digits, '-' or '.', with a letter or digit at both ends"
	validAddress  = "IP:port, such as 192.0.2.7:8080"
	validSize     = "a whole number with the unit KB or MB, such as 512KB"
	validDuration = "a time above 0 with its unit, such as 500ms, 10s or 2m, at most 24h"
	validToken    = "at least 16 printable characters without spaces"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func checkName(text string) *problem {
	if namePattern.MatchString(text) {
		return nil
	}
	return &problem{fmt.Sprintf("%q is not a name", text), validName}
}

// checkToken never includes the token in its messages, because they are written to logs.
func checkToken(text string) *problem {
	if text == "" {
		return nil
	}
	if len(text) < minTokenBytes {
		return &problem{"the token is too short", validToken}
	}
	for _, c := range text {
		if c <= ' ' || c > '~' {
			return &problem{"the token has a space or an unprintable character", validToken}
		}
	}
	return nil
}

// readListenAddress rejects the unspecified address, because other nodes connect to the configured address.
func readListenAddress(text string, to *netip.AddrPort) *problem {
	address, wrong := parseAddress(text)
	if wrong != nil {
		return wrong
	}
	if address.Addr().IsUnspecified() {
		return &problem{fmt.Sprintf("%q is an unspecified address", text), "the IP address by which others reach the node"}
	}
	if address.Port() == 0 && !address.Addr().IsLoopback() {
		return &problem{fmt.Sprintf("%q has port 0", text), "a port from 1 to 65535"}
	}
	*to = address
	return nil
}

func readRemoteAddress(text string, to *netip.AddrPort) *problem {
	address, wrong := parseAddress(text)
	if wrong != nil {
		return wrong
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return &problem{fmt.Sprintf("%q cannot be connected to", text), validAddress}
	}
	*to = address
	return nil
}

func readAddressList(text string, to *[]netip.AddrPort) *problem {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	var list []netip.AddrPort
	for _, item := range strings.Split(text, ",") {
		var address netip.AddrPort
		if wrong := readRemoteAddress(strings.TrimSpace(item), &address); wrong != nil {
			return &problem{wrong.text, "a comma-separated list of " + validAddress}
		}
		list = append(list, address)
	}
	*to = list
	return nil
}

func parseAddress(text string) (netip.AddrPort, *problem) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, &problem{fmt.Sprintf("%q is not an address", text), validAddress}
	}
	return address, nil
}

func readDuration(text string, to *time.Duration) *problem {
	span, err := time.ParseDuration(text)
	if err != nil || span <= 0 || span > maxDuration {
		return &problem{fmt.Sprintf("%q is not a valid time", text), validDuration}
	}
	*to = span
	return nil
}

func readCount(text string, low, high int, to *int) *problem {
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		return &problem{fmt.Sprintf("%q is not a valid number", text), fmt.Sprintf("a whole number from %d to %d", low, high)}
	}
	*to = n
	return nil
}

func readSize(text string, low, high int64, to *int64) *problem {
	n, ok := parseSize(text)
	if !ok {
		return &problem{fmt.Sprintf("%q is not a size", text), validSize}
	}
	if n < low || n > high {
		return &problem{fmt.Sprintf("%q is out of range", text), fmt.Sprintf("a size from %d to %d bytes", low, high)}
	}
	*to = n
	return nil
}

// parseSize accepts "0" without a unit, because 0 is the same in every unit.
func parseSize(text string) (int64, bool) {
	if text == "0" {
		return 0, true
	}
	unit := int64(kilobyte)
	digits, ok := strings.CutSuffix(text, "KB")
	if !ok {
		unit = megabyte
		digits, ok = strings.CutSuffix(text, "MB")
	}
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 32)
	return int64(n) * unit, err == nil
}

// readOptionalAddress leaves the address invalid if the text is empty.
func readOptionalAddress(text string, to *netip.AddrPort) *problem {
	if text == "" {
		return nil
	}
	return readListenAddress(text, to)
}

func readNumber(text string, low, high float64, to *float64) *problem {
	n, err := strconv.ParseFloat(text, 64)
	// The comparison is written so that NaN is rejected.
	if err != nil || !(n >= low && n <= high) {
		return &problem{fmt.Sprintf("%q is not a valid number", text), fmt.Sprintf("a number from %g to %g", low, high)}
	}
	*to = n
	return nil
}

// Range of the HTTP statuses that indicate an error.
const (
	minErrorStatus = 400
	maxErrorStatus = 599
)

func readStatuses(text string, to *[]int) *problem {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	var list []int
	for _, item := range strings.Split(text, ",") {
		var status int
		if wrong := readCount(strings.TrimSpace(item), minErrorStatus, maxErrorStatus, &status); wrong != nil {
			return &problem{wrong.text, "a comma-separated list of statuses from 400 to 599"}
		}
		list = append(list, status)
	}
	*to = list
	return nil
}

func readYesNo(text string, into *bool) *problem {
	if text != "yes" && text != "no" {
		return &problem{fmt.Sprintf("%q is neither yes nor no", text), "yes or no"}
	}
	*into = text == "yes"
	return nil
}
