package node

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against 401, which is final, for a nested request of a run that was sent before the start of the node.
func TestNestedRequestOfARunBeforeTheStartIsNotRefusedForGood(t *testing.T) {
	const unknown, absent = "503 not-run: accounts_unknown", "401 not-run: api_key_required"
	for _, c := range []struct {
		// timeouts are those of the route in successive configurations.
		timeouts []time.Duration
		age      time.Duration
		want     string
	}{
		{[]time.Duration{0}, 15 * time.Second, unknown},
		{[]time.Duration{0}, 31 * time.Second, absent},
		{[]time.Duration{time.Minute}, 45 * time.Second, unknown},
		{[]time.Duration{time.Minute}, 61 * time.Second, absent},
		{[]time.Duration{time.Minute, time.Second}, 45 * time.Second, unknown},
		{[]time.Duration{time.Second, time.Minute}, 45 * time.Second, unknown},
		{[]time.Duration{time.Second}, 15 * time.Second, unknown},
	} {
		a, address := startKeyed(t, "127.0.0.1:1")
		a.clock = clock{start: time.Now().Add(-c.age)}
		for _, timeout := range c.timeouts {
			view := core.BuildView(core.Inputs{Config: &config.Snapshot{Services: map[model.ServiceName]*declaration.Service{
				"s": {Name: "s", Routes: []declaration.Route{{Path: "/s", RequiresKey: true, TimeoutMS: timeout.Milliseconds()}}},
			}}})
			view.Accounts = a.view.Load().Accounts
			a.setView(view)
		}
		res, err := roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nRequest-Id: 7.1\r\n\r\n")
		if err != nil {
			t.Fatal(err)
		}
		if got := refusalTextOf(t, res); got != c.want {
			t.Errorf("timeouts %v, %s after the start: %s, want %s", c.timeouts, c.age, got, c.want)
		}
	}
}
