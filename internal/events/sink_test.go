package events_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a severity that klog writes with another letter, or a line with a source position in this package.
func TestKlogSink(t *testing.T) {
	var out bytes.Buffer
	klog.LogToStderr(false)
	// klog writes each line to the output of its severity and of all lower ones.
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", &out)
	defer klog.LogToStderr(true)
	log := events.New(events.Klog{}, time.Now)
	log.Emit(events.NodeReady)
	log.Emit(events.NodeSilent)
	log.Emit(events.RegionUnreachable)
	klog.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("%d lines: %q", len(lines), lines)
	}
	for i, letter := range []string{"I", "W", "E"} {
		if !strings.HasPrefix(lines[i], letter) || !strings.Contains(lines[i], "sink_test.go:") {
			t.Errorf("line %q, want %s from sink_test.go", lines[i], letter)
		}
	}
}

// Guards against a field with another key or format than the catalogue defines.
func TestEveryField(t *testing.T) {
	fields := map[string]events.Field{
		`node="n"`:              events.NodeField("n"),
		`incarnation="7"`:       events.IncarnationField(7),
		`region="r"`:            events.RegionField("r"),
		`failure_domain="d"`:    events.DomainField("d"),
		`service="s"`:           events.ServiceField("s"),
		`target="t"`:            events.TargetField("t"),
		`attempt="a"`:           events.AttemptField("a"),
		`address="192.0.2.1"`:   events.AddressField("192.0.2.1"),
		`revision="9"`:          events.RevisionField(9),
		`phase="draining"`:      events.PhaseField(model.PhaseDraining),
		`outcome="retried"`:     events.OutcomeField(events.Retried),
		`fingerprint="9f"`:      events.FingerprintField("9f"),
		`operation="get"`:       events.OperationField("get"),
		`cause="none"`:          events.CauseField(nil),
		`count="2"`:             events.CountField(2),
		`slots="7"`:             events.SlotsField(7),
		`floor_slots="20"`:      events.FloorField(20),
		`duration="1.5s"`:       events.DurationField(1500 * time.Millisecond),
		`bytes="700"`:           events.BytesField(700),
		`limit="2s"`:            events.LimitField(2 * time.Second),
		`route="/r/"`:           events.RouteField("/r/"),
		`request="9c41"`:        events.RequestField("9c41"),
		`mode="queue"`:          events.ModeField("queue"),
		`wait="5ms"`:            events.WaitField(5 * time.Millisecond),
		`doubt="2"`:             events.DoubtField(2),
		`status="503"`:          events.StatusField(503),
		`complete_revision="8"`: events.CompleteField(8),
		`era="3"`:               events.EraField(3),
		`previous_era="2"`:      events.PreviousEraField(2),
		`source="store"`:        events.SourceField(""),
		`age="2s"`:              events.AgeField(2 * time.Second),
		`accepted="1"`:          events.AcceptedField(1),
		`admitted="2"`:          events.AdmittedField(2),
		`responses="3"`:         events.ResponsesField(3),
		`calls="4"`:             events.CallsField(4),
		`rank="1"`:              events.RankField(1),
		`remaining="3s"`:        events.RemainingField(3 * time.Second),
		`cutoff="4s"`:           events.CutoffField(4*time.Second, true),
		`account_group="48"`:    events.GroupField("48"),
		`document="config/x/a"`: events.DocumentField("config/x/a"),
		`accounts="a,b"`:        events.AccountsField([]model.AccountName{"a", "b"}),
		`account="a"`:           events.AccountField("a"),
		`access="key"`:          events.AccessField("key"),
		`access_revision="9"`:   events.AccessRevisionField(9),
	}
	listed := make(map[events.Key]*events.Event)
	for _, event := range events.All() {
		for _, key := range event.Fields {
			listed[key] = event
		}
	}
	if len(listed) != len(fields) {
		t.Errorf("the catalogue uses %d keys, and %d are tested", len(listed), len(fields))
	}
	for want, field := range fields {
		key, _, _ := strings.Cut(want, "=")
		event, ok := listed[events.Key(key)]
		if !ok {
			t.Errorf("no event has the field %s", key)
			continue
		}
		sink := new(recordingSink)
		events.New(sink, time.Now).Emit(event, field)
		if !strings.HasSuffix(sink.lines[0], " "+want) {
			t.Errorf("line %q lacks %s", sink.lines[0], want)
		}
	}
}
