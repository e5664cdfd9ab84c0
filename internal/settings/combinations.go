package settings

import (
	"fmt"
	"net/netip"
)

// checkCombinations reports settings that are valid separately but not together. Fields that could not be read are zero
// and are skipped.
func (c *checker) checkCombinations(s *Settings) {
	c.checkListeners(s.Listen)
	c.checkOperatorToken(s)
	c.checkSeeds(s)
	c.checkStoreAddress(s)
	c.checkLimits(s.Limits)
}

type listener struct {
	key     string
	address netip.AddrPort
}

func listeners(l Listen) []listener {
	return []listener{
		{"callers", l.Callers}, {"peers", l.Peers}, {"operators", l.Operators}, {"upstreams", l.Upstreams},
		{"health", l.Health}, {"metrics", l.Metrics},
	}
}

func (c *checker) checkListeners(l Listen) {
	all := listeners(l)
	for i, current := range all {
		for _, earlier := range all[:i] {
			if current.address.IsValid() && current.address.Port() != 0 && current.address == earlier.address {
				c.addKey("listen", current.key, fmt.Sprintf("%s is also the address of %s", current.address, earlier.key), "another port")
			}
		}
	}
}

func (c *checker) checkOperatorToken(s *Settings) {
	address := s.Listen.Operators
	if !address.IsValid() || address.Addr().IsLoopback() || s.Operators.Token != "" {
		return
	}
	problem := fmt.Sprintf("is missing, and the operators' listener %s is not loopback", address)
	c.addKey("operators", "token", problem, validToken+", or a loopback address for [listen] operators")
}

func (c *checker) checkSeeds(s *Settings) {
	seen := make(map[netip.AddrPort]bool)
	for _, seed := range s.Peers.Seeds {
		if seen[seed] {
			c.addKey("peers", "seeds", fmt.Sprintf("%s is listed twice", seed), "each seed once")
		}
		seen[seed] = true
	}
}

func (c *checker) checkStoreAddress(s *Settings) {
	for _, current := range listeners(s.Listen) {
		if s.Store.Address.IsValid() && current.address == s.Store.Address {
			problem := fmt.Sprintf("%s is also [listen] %s of this node", s.Store.Address, current.key)
			c.addKey("store", "address", problem, "the address of the platform store")
		}
	}
}

func (c *checker) checkLimits(l Limits) {
	if l.MaxRequests > l.MaxConnections && l.MaxConnections > 0 {
		problem := fmt.Sprintf("%d is above max_connections %d, so that it can never be reached", l.MaxRequests, l.MaxConnections)
		c.addKey("limits", "max_requests", problem, "at most max_connections")
	}
}

// addKey reports a fault at the key's line, or at its section's line if the key is absent.
func (c *checker) addKey(section, key, problem, valid string) {
	line := c.lines[keyLabel(section, key)]
	if line == 0 {
		line = c.lines[keyLabel(section, "")]
	}
	c.add(line, keyLabel(section, key), problem, valid)
}
