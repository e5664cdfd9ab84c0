package headers

import (
	"strings"

	"github.com/sardinereach/sardinereach/internal/dialect"
)

// Rules are the rules of all headers. They are immutable.
type Rules struct {
	byName map[string]Rule
}

var (
	hopRule = rule(Hop, Remove, Remove, Remove)
	// framingRule is the rule of headers that each hop writes anew for its own request. A response keeps them.
	framingRule = rule(Hop, Remove, Remove, Forward)
	// prefixRule is the rule of all other headers with the fleet's prefix.
	prefixRule = rule(Fleet, Remove, Remove, Remove)
	// addedRule is the rule of request headers that the accepting node adds.
	addedRule = rule(Fleet, Remove, Keep, Forward)
	// setRule is the rule of request headers that the admitting node sets.
	setRule = rule(Fleet, Remove, Remove, Forward)
	// accountRule is the rule of the client account, which the admitting node sets for upstreams alone.
	accountRule = rule(Fleet, Remove, Remove, Remove)
	// keyRule is the rule of the caller's API key, which only the accepting node reads.
	keyRule = rule(Caller, Remove, Remove, Remove)
	// requestIDRule is the rule of the caller's request ID: the accepting node adds its one value again.
	requestIDRule = rule(Caller, Remove, Keep, Keep)
	// declarationRule is the rule of what upstreams tell the admitting node.
	declarationRule = rule(Upstream, Remove, Remove, Remove)
	signatureRule   = rule(Upstream, Forward, Forward, Keep)
)

var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

var framingHeaders = []string{"Content-Length", "Expect"}

// forwardedFor lists the addresses of callers and proxies.
const forwardedFor = "X-Forwarded-For"

// NewRules returns the rules of the dialects. Either may be the zero value if its headers do not occur.
func NewRules(caller dialect.Caller, upstream dialect.Upstream) *Rules {
	r := &Rules{byName: make(map[string]Rule)}
	// A header with two meanings gets the rule that is set last.
	r.set(signatureRule, upstream.SignatureHeader)
	r.set(requestIDRule, caller.RequestIDHeader)
	r.set(setRule, caller.TimeoutHeader, upstream.TimeoutHeader, upstream.AttemptHeader, upstream.InstanceHeader)
	r.set(addedRule, caller.CallerServiceHeader)
	if caller.SardinereachHeaders {
		r.set(addedRule, forwardedFor)
	}
	r.set(declarationRule, upstream.NotRunHeader, upstream.LoadHeader)
	r.set(accountRule, upstream.AccountHeader)
	r.set(keyRule, caller.KeyHeader)
	r.set(framingRule, framingHeaders...)
	r.set(hopRule, connectionHeaders...)
	return r
}

// set sets the rule of the names that are not empty. Callers get no upstream's value of a header with the fleet's prefix.
func (r *Rules) set(rule Rule, names ...string) {
	for _, name := range names {
		if name == "" {
			continue
		}
		name = Canonical(name)
		named := rule
		if strings.HasPrefix(name, fleetPrefix) {
			named.actions[ToCaller] = Remove
		}
		r.byName[name] = named
	}
}

// Of returns the rule of a header.
func (r *Rules) Of(name string) Rule { return r.ofCanonical(Canonical(name)) }

func (r *Rules) ofCanonical(name string) Rule {
	if rule, ok := r.byName[name]; ok {
		return rule
	}
	if strings.HasPrefix(name, fleetPrefix) {
		return prefixRule
	}
	return Rule{}
}

// Forwards reports whether a header that no Connection header names is passed on.
func (r *Rules) Forwards(leg Leg, name string) bool {
	return r.forwards(leg, name, nil)
}

// forwards reports whether the header is passed on. named has the canonical names that the Connection header lists.
func (r *Rules) forwards(leg Leg, name string, named map[string]bool) bool {
	canonical := Canonical(name)
	switch r.ofCanonical(canonical).On(leg) {
	case Remove:
		return false
	case Keep:
		return strings.EqualFold(name, canonical)
	}
	return !named[canonical]
}
