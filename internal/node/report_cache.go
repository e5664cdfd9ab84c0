package node

import (
	"encoding/json"

	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// reportCache keeps the newest report about each target of the services beside this node. Reports arrive by the exchange
// and by asking, so that an older one may come later.
type reportCache struct {
	services map[model.ServiceName]map[model.TargetID]*cachedReport
	// taken is the snapshot that was read last.
	taken *membership.Snapshot
}

type cachedReport struct {
	incarnation model.Incarnation
	// raw is the report of the record that was decoded last.
	raw    string
	report detect.Report
}

func newReportCache() *reportCache {
	return &reportCache{services: make(map[model.ServiceName]map[model.TargetID]*cachedReport)}
}

// follow sets the services to keep reports about.
func (b *reportCache) follow(services map[model.ServiceName]bool) {
	for name := range services {
		if b.services[name] == nil {
			b.services[name] = make(map[model.TargetID]*cachedReport)
			b.taken = nil
		}
	}
	for name := range b.services {
		if !services[name] {
			delete(b.services, name)
		}
	}
}

// take reads the reports of all members but the node itself, and forgets targets that no member has. A snapshot that was
// read before costs nothing.
func (b *reportCache) take(members *membership.Snapshot, self model.NodeID) {
	if members == nil || members == b.taken {
		return
	}
	b.taken = members
	seen := make(map[model.TargetID]bool)
	for id, member := range members.Members {
		if id == self {
			continue
		}
		for i := range member.Record.Targets {
			t := &member.Record.Targets[i]
			if b.services[t.Service] != nil {
				seen[t.ID] = true
				b.takeTarget(member.Record.Incarnation, t)
			}
		}
	}
	for _, entries := range b.services {
		for id := range entries {
			if !seen[id] {
				delete(entries, id)
			}
		}
	}
}

func (b *reportCache) takeTarget(incarnation model.Incarnation, t *model.Target) {
	e := b.services[t.Service][t.ID]
	if e == nil || e.incarnation < incarnation {
		e = &cachedReport{incarnation: incarnation, report: detect.ReportOf(*t)}
		b.services[t.Service][t.ID] = e
	}
	if e.raw == t.Report || t.Report == "" {
		return
	}
	e.raw = t.Report
	var report detect.Report
	if json.Unmarshal([]byte(t.Report), &report) != nil {
		return
	}
	report.Suspected = report.Suspected || t.Missing
	e.offer(report)
}

// offer takes the report if it is not older than the known one. Counts only grow within an incarnation.
func (e *cachedReport) offer(report detect.Report) {
	if report.Counts.Total() >= e.report.Counts.Total() {
		e.report = report
	}
}

// add takes a report that a node was asked for.
func (b *reportCache) add(service model.ServiceName, report detect.Report) {
	if e := b.services[service][report.Target]; e != nil {
		e.offer(report)
	}
}

// of returns the reports of a service.
func (b *reportCache) of(service model.ServiceName) []detect.Report {
	reports := make([]detect.Report, 0, len(b.services[service])+1)
	for _, e := range b.services[service] {
		reports = append(reports, e.report)
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
