package node

import (
	"encoding/json"

	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// reportBook keeps the newest report about each target beside another node. Reports arrive by the exchange and by asking,
// so that an older one may come later.
type reportBook struct {
	entries map[model.TargetID]*bookEntry
}

type bookEntry struct {
	service     model.ServiceName
	incarnation model.Incarnation
	// raw is the report of the record that was decoded last.
	raw    string
	report detect.Report
}

func newReportBook() *reportBook { return &reportBook{entries: make(map[model.TargetID]*bookEntry)} }

// take reads the reports of all members but the node itself, and forgets targets that no member has.
func (b *reportBook) take(members *membership.Snapshot, self model.NodeID) {
	if members == nil {
		return
	}
	seen := make(map[model.TargetID]bool)
	for id, member := range members.Members {
		if id == self {
			continue
		}
		for i := range member.Record.Targets {
			t := &member.Record.Targets[i]
			seen[t.ID] = true
			b.takeTarget(member.Record.Incarnation, t)
		}
	}
	for id := range b.entries {
		if !seen[id] {
			delete(b.entries, id)
		}
	}
}

func (b *reportBook) takeTarget(incarnation model.Incarnation, t *model.Target) {
	e := b.entries[t.ID]
	if e == nil || e.service != t.Service || e.incarnation < incarnation {
		e = &bookEntry{service: t.Service, incarnation: incarnation, report: detect.ReportOf(*t)}
		b.entries[t.ID] = e
	}
	if e.raw == t.Report || t.Report == "" {
		return
	}
	e.raw = t.Report
	var report detect.Report
	if json.Unmarshal([]byte(t.Report), &report) != nil {
		return
	}
	report.Suspect = report.Suspect || t.Missing
	e.offer(report)
}

// offer takes the report if it is not older than the known one. Counts only grow within an incarnation.
func (e *bookEntry) offer(report detect.Report) {
	if report.Counts.Total() >= e.report.Counts.Total() {
		e.report = report
	}
}

// add takes a report that a node was asked for.
func (b *reportBook) add(service model.ServiceName, report detect.Report) {
	if e := b.entries[report.Target]; e != nil && e.service == service {
		e.offer(report)
	}
}

// of returns the reports of a service.
func (b *reportBook) of(service model.ServiceName) []detect.Report {
	var reports []detect.Report
	for _, e := range b.entries {
		if e.service == service {
			reports = append(reports, e.report)
		}
	}
	return reports
}

func encodeReport(report detect.Report) string {
	data, err := json.Marshal(report)
	if err != nil {
		// Without a report the other nodes fall back on the counters of the record.
		return ""
	}
	return string(data)
}
