package node

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against "not run" being told of a request one of whose attempts may have run: the refusal of a later attempt
// says nothing about the earlier ones.
func TestOutcomeOfSeveralAttempts(t *testing.T) {
	refused := verdict.Refused(verdict.Quarantined, nil)
	lost := verdict.Uncertain(verdict.UpstreamLost, nil)
	timedOut := verdict.Uncertain(verdict.UpstreamTimeout, nil)
	for name, c := range map[string]struct{ last, uncertain, want *verdict.Error }{
		"answered":                      {nil, lost, nil},
		"refused only":                  {refused, nil, refused},
		"refused after a loss":          {refused, lost, lost},
		"timed out after a loss":        {timedOut, lost, timedOut},
		"the only attempt may have run": {lost, lost, lost},
	} {
		if got := overall(c.last, c.uncertain); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
