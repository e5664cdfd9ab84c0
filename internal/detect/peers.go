package detect

import (
	"math"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// longWindow is the time constant of the long-term counts. They determine the healthy shares that are used between
	// two comparisons.
	longWindow = 60 * time.Second
)

// Peers caches the reports that one node has received about the targets of one service. It is not safe for concurrent
// use.
type Peers struct {
	asOf    time.Duration
	updated bool
	targets map[model.TargetID]*peer
}

// NewPeers returns an empty Peers.
func NewPeers() *Peers { return &Peers{targets: make(map[model.TargetID]*peer)} }

// Update replaces the cached reports with the newest report of every target of the service. Targets without a report
// are removed. The reports include everything up to asOf, on the node's own clock. Reports that are older than the
// cached ones are ignored.
func (p *Peers) Update(asOf time.Duration, reports []Report) {
	if p.updated && asOf < p.asOf {
		return
	}
	decay := 0.0
	if p.updated {
		decay = math.Exp(-(asOf - p.asOf).Seconds() / longWindow.Seconds())
	}
	targets := make(map[model.TargetID]*peer, len(reports))
	for _, report := range reports {
		target := p.targets[report.Target]
		if target == nil {
			target = newPeer(asOf, report)
		} else {
			target.update(asOf, decay, report)
		}
		targets[report.Target] = target
	}
	p.targets = targets
	p.asOf = asOf
	p.updated = true
}
