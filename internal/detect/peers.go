package detect

import (
	"math"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// longWindow is the time constant of the counts behind the shares that are assumed between two comparisons.
	longWindow = 60 * time.Second
)

// Peers is what one node knows of the targets of one service, from their reports. It is not safe for concurrent use.
type Peers struct {
	asOf    time.Duration
	updated bool
	targets map[model.TargetID]*peer
}

// NewPeers returns the peers of a service without reports.
func NewPeers() *Peers { return &Peers{targets: make(map[model.TargetID]*peer)} }

// Update takes over the newest report of every target of the service; targets without one are forgotten. The reports
// cover all that happened until asOf, on the node's own clock. Reports that are older than the known ones are ignored.
func (p *Peers) Update(asOf time.Duration, reports []Report) {
	if p.updated && asOf < p.asOf {
		return
	}
	decay := 0.0
	if p.updated {
		decay = math.Exp(-(asOf - p.asOf).Seconds() / longWindow.Seconds())
	}
	known := make(map[model.TargetID]*peer, len(reports))
	for _, report := range reports {
		one := p.targets[report.Target]
		if one == nil {
			one = newPeer(asOf, report)
		} else {
			one.update(asOf, decay, report)
		}
		known[report.Target] = one
	}
	p.targets = known
	p.asOf = asOf
	p.updated = true
}
