package node

import "github.com/sardinereach/sardinereach/internal/events"

// pendingWork is what keeps a stopping node from its exit, in numbers.
type pendingWork struct {
	// accepted are the requests in flight as accepting node, admitted the attempts in flight as admitting node.
	accepted, admitted int
	// responses are the retained responses that accepting nodes may still ask for.
	responses int
	// calls are the open calls of other nodes.
	calls int
}

func (w pendingWork) total() int { return w.accepted + w.admitted + w.responses + w.calls }

func (w pendingWork) fields() []events.Field {
	return []events.Field{
		events.AcceptedField(w.accepted), events.AdmittedField(w.admitted), events.ResponsesField(w.responses), events.CallsField(w.calls),
	}
}
