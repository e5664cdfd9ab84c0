package node

import (
	"encoding/json"

	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// reportCache caches the newest report on each target of the services that have local targets. Reports arrive by gossip and
// as responses to direct requests, so an older report may arrive after a newer one.
type reportCache struct {
	services map[model.ServiceName]map[model.TargetID]*cachedReport
	// lastSnapshot is the membership snapshot that was processed last.
	lastSnapshot *membership.Snapshot
}

type cachedReport struct {
	incarnation model.Incarnation
	// raw is the encoded form of the report that was last decoded from a member record.
	raw    string
	report detect.Report
}

func newReportCache() *reportCache {
	return &reportCache{services: make(map[model.ServiceName]map[model.TargetID]*cachedReport)}
}

// setServices sets the services whose reports are cached.
func (b *reportCache) setServices(services map[model.ServiceName]bool) {
	for name := range services {
		if b.services[name] == nil {
			b.services[name] = make(map[model.TargetID]*cachedReport)
			b.lastSnapshot = nil
		}
	}
	for name := range b.services {
		if !services[name] {
			delete(b.services, name)
		}
	}
}

// update caches the reports of all members except the node itself, and removes targets that no member has. It returns at
// once if the snapshot has been processed before.
func (b *reportCache) update(members *membership.Snapshot, self model.NodeID) {
	if members == nil || members == b.lastSnapshot {
		return
	}
	b.lastSnapshot = members
	present := make(map[model.TargetID]bool)
	for id, member := range members.Members {
		if id == self {
			continue
		}
		for i := range member.Record.Targets {
			t := &member.Record.Targets[i]
			if b.services[t.Service] != nil {
				present[t.ID] = true
				b.updateTarget(member.Record.Incarnation, t)
			}
		}
	}
	for _, entries := range b.services {
		for id := range entries {
			if !present[id] {
				delete(entries, id)
			}
		}
	}
}

func (b *reportCache) updateTarget(incarnation model.Incarnation, t *model.Target) {
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
	e.replaceIfNewer(report)
}

// replaceIfNewer stores the report if it is not older than the cached one. The counts only grow within an incarnation, so
// the report with the lower total is the older one.
func (e *cachedReport) replaceIfNewer(report detect.Report) {
	if report.Counts.Total() >= e.report.Counts.Total() {
		e.report = report
	}
}

// add caches a report that a node has returned on request.
func (b *reportCache) add(service model.ServiceName, report detect.Report) {
	if e := b.services[service][report.Target]; e != nil {
		e.replaceIfNewer(report)
	}
}

// reports returns the cached reports of a service.
func (b *reportCache) reports(service model.ServiceName) []detect.Report {
	reports := make([]detect.Report, 0, len(b.services[service])+1)
	for _, e := range b.services[service] {
		reports = append(reports, e.report)
	}
	return reports
}

func encodeReport(report detect.Report) string {
	data, err := json.Marshal(report)
	if err != nil {
		// Without a report the other nodes use the counters of the record.
		return ""
	}
	return string(data)
}
