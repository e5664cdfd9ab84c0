package departure_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/departure"
	"github.com/sardinereach/sardinereach/internal/model"
)

func drawDeparture(t *rapid.T) model.Departure {
	return model.Departure{
		Target:      model.TargetID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")),
		StartTimeMS: rapid.Int64Range(1, 4).Draw(t, "start"),
		Sequence:    rapid.Uint64Range(0, 3).Draw(t, "sequence"),
	}
}

// Guards against a set that forgets an announcement of a departed target when another departure of it arrives, in any order.
func TestSetCoversWhatItsDeparturesCover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		added := rapid.SliceOfN(rapid.Custom(drawDeparture), 1, 6).Draw(t, "departures")
		set, reversed := departure.NewSet(), departure.NewSet()
		for i := range added {
			set.Add(0, added[i])
			reversed.Add(0, added[len(added)-1-i])
		}
		if !slices.Equal(set.List(), reversed.List()) {
			t.Fatalf("the order matters: %v, %v", set.List(), reversed.List())
		}
		start, sequence := rapid.Int64Range(0, 5).Draw(t, "announced start"), rapid.Uint64Range(1, 4).Draw(t, "announced sequence")
		for _, d := range added {
			if kept, _ := set.Get(d.Target); d.Covers(start, sequence) && !kept.Covers(start, sequence) {
				t.Fatalf("%+v covers start %d, sequence %d; the set has %+v", d, start, sequence, kept)
			}
		}
	})
}

// Guards against a departure that excludes the next process of a target, or an announcement that came after it.
func TestDepartureCoversOnlyWhatCameBefore(t *testing.T) {
	leave := model.Departure{Target: "a", StartTimeMS: 10}
	draining := model.Departure{Target: "a", StartTimeMS: 10, Sequence: 5}
	estimated := model.Departure{Target: "a", StartTimeMS: 20, Estimated: true}
	for name, c := range map[string]struct {
		departure model.Departure
		start     int64
		sequence  uint64
		want      bool
	}{
		"late after a leave":           {leave, 10, 9, true},
		"next process after a leave":   {leave, 11, 1, false},
		"late after draining":          {draining, 10, 4, true},
		"ready again":                  {draining, 10, 6, false},
		"process before":               {draining, 9, 9, true},
		"unknown process":              {estimated, 0, 1, false},
		"process before an estimate":   {estimated, 19, 1, true},
		"next process after estimated": {estimated, 21, 1, false},
	} {
		if got := c.departure.Covers(c.start, c.sequence); got != c.want {
			t.Errorf("%s: covered: %v, want %v", name, got, c.want)
		}
	}
}

func targetID(i int) model.TargetID { return model.TargetID(fmt.Sprintf("t-%d", i)) }

// Guards against a set that grows without end, or keeps departures for good.
func TestSetIsBounded(t *testing.T) {
	set := departure.NewSet()
	const many = 200
	for i := range many {
		set.Add(time.Duration(i)*time.Second, model.Departure{Target: targetID(i), StartTimeMS: 1})
	}
	if _, ok := set.Get(targetID(many - 1)); !ok {
		t.Error("the newest departure is gone")
	}
	if size := len(set.List()); size > 64 {
		t.Errorf("%d departures are kept", size)
	}
	set.Expire(many*time.Second + departure.TTL)
	if left := set.List(); len(left) != 0 {
		t.Errorf("%v are kept after their time", left)
	}
}
