package events_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const docsPath = "../../docs/events.md"

var update = flag.Bool("update", false, "write the catalogue to docs/events.md")

const docsHead = `# Log events

A daemon writes one line for each event: its number and name, its text, then its fields as key="value". Numbers are
stable. Each number is limited to bursts of 10 and 1 event/s, those of every attempt and request to 100 events/s;
` + "`held_back`" + ` counts the events that were not written since the last one with this number. The log goes to standard output
and never blocks a request: lines that cannot be written in time are dropped and counted. A field that the table does not list for an event is never written, and neither
bodies, headers nor tokens are fields. A revision of a store with eras is written as era:revision. ` + "`go test ./internal/events -update`" + ` writes this page.

`

// Guards against a catalogue in the documentation that differs from the code.
func TestDocs(t *testing.T) {
	want := docsHead + events.Markdown()
	if *update {
		if err := os.WriteFile(docsPath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docsPath)
	if err != nil || string(got) != want {
		t.Errorf("docs/events.md differs from the catalogue (%v); run go test ./internal/events -update", err)
	}
}

// Guards against two events with one number or name, and against events without text or fields.
func TestCatalogue(t *testing.T) {
	numbers := make(map[int]string)
	names := make(map[string]int)
	for _, event := range events.All() {
		if numbers[event.Number] != "" || names[event.Name] != 0 {
			t.Errorf("event %d %s has the number of %q or the name of %d", event.Number, event.Name, numbers[event.Number], names[event.Name])
		}
		numbers[event.Number] = event.Name
		names[event.Name] = event.Number
		if event.Number <= 0 || event.Text == "" || len(event.Fields) == 0 || event.Severity > events.Error {
			t.Errorf("event %+v is not complete", event)
		}
	}
}

// Guards against refusals, failures or retries that are not logged.
func TestEveryReasonHasAnEvent(t *testing.T) {
	seen := make(map[int]verdict.Reason)
	for _, reason := range verdict.Reasons() {
		event := events.ForReason(reason)
		if event.Name != "request_"+string(reason) {
			t.Errorf("reason %s has the event %s", reason, event.Name)
		}
		if other, ok := seen[event.Number]; ok {
			t.Errorf("reasons %s and %s share the event %d", reason, other, event.Number)
		}
		seen[event.Number] = reason
	}
	if got := events.ForReason("no such reason").Number; got != 1000 {
		t.Errorf("an unknown reason has the event %d, want 1000", got)
	}
}

// recordingSink stores the lines that were written.
type recordingSink struct {
	lines []string
}

func (r *recordingSink) Write(severity events.Severity, line string) {
	r.lines = append(r.lines, severity.String()+" "+line)
}

// Guards against revisions of two eras of the store that look alike in the log.
func TestRevisionShowsItsEra(t *testing.T) {
	sink := new(recordingSink)
	log := events.New(sink, time.Now)
	log.Emit(events.StoreHistoryLost, events.OperationField("quarantine/"), events.RevisionField(store.Revision(2, 31)))
	if len(sink.lines) != 1 || !strings.Contains(sink.lines[0], `revision="2:31"`) {
		t.Errorf("lines %q, want revision 2:31", sink.lines)
	}
}

// Guards against a burst of one event that floods the log, suppresses other events, or is not counted.
func TestRateLimit(t *testing.T) {
	now := time.Unix(0, 0)
	sink := new(recordingSink)
	log := events.New(sink, func() time.Time { return now })
	for range 1000 {
		log.Emit(events.ForReason(verdict.SlotsFull))
	}
	log.Emit(events.NodeReady)
	if len(sink.lines) != 11 || !strings.Contains(sink.lines[10], "SR0102 node_ready") {
		t.Fatalf("%d lines, want 10 of the burst and 1 other: %q", len(sink.lines), sink.lines)
	}
	now = now.Add(time.Second)
	log.Emit(events.ForReason(verdict.SlotsFull))
	if last := sink.lines[len(sink.lines)-1]; !strings.HasSuffix(last, "held_back=990") {
		t.Errorf("after the burst: %q", last)
	}
	log.Emit(events.ForReason(verdict.SlotsFull))
	log.Flush()
	log.Flush()
	if last := sink.lines[len(sink.lines)-1]; len(sink.lines) != 13 || !strings.HasSuffix(last, "held_back=1") {
		t.Errorf("after the flush: %q", sink.lines)
	}
}

// Guards against values that break the line, fields that the catalogue does not list, and values of unlimited length.
func TestFields(t *testing.T) {
	sink := new(recordingSink)
	log := events.New(sink, time.Now)
	log.Emit(events.StoreUnavailable,
		events.OperationField("get"),
		events.TargetField("not listed"),
		events.CauseField(errors.New("a \"b\"\nSR0101 forged"+strings.Repeat("x", 4096))),
	)
	line := sink.lines[0]
	if !strings.HasPrefix(line, `warning SR0201 store_unavailable: the store does not respond; the last configuration stays in force operation="get" cause="a \"b\"\nSR0101 forged`) {
		t.Errorf("line %q", line)
	}
	if strings.Contains(line, "not listed") || strings.Contains(line, "\n") || len(line) > 700 {
		t.Errorf("line of %d bytes: %q", len(line), line)
	}
}
