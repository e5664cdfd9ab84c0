package headers

// Rule is the owner of a header, and what happens to it on each leg. The zero value is the rule of all headers that have no
// other one.
type Rule struct {
	Owner   Owner
	actions [legs]Action
}

// On returns what happens to the header on the leg.
func (r Rule) On(leg Leg) Action { return r.actions[leg] }

// rule returns a rule with the actions from the caller, to the upstream and to the caller.
func rule(owner Owner, fromCaller, toUpstream, toCaller Action) Rule {
	return Rule{Owner: owner, actions: [legs]Action{FromCaller: fromCaller, ToUpstream: toUpstream, ToCaller: toCaller}}
}
