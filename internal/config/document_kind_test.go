package config

import "testing"

// Guards against documents of kinds that this build knows and that are reported as unknown, and the reverse.
func TestKnownKinds(t *testing.T) {
	for key, want := range map[string]bool{
		ServicePrefix + "a": true, AccountKey(3): true, AccountPrefix + "x": true,
		"config/quotas/a": false, "config/services": false, "config/service/a": false, "config/Services/a": false, "config/x": false,
	} {
		if got := IsKnownKind(key); got != want {
			t.Errorf("%s: %t, want %t", key, got, want)
		}
	}
}

// Guards against a route that is served although it requires what only a kind of document of a later build restricts, and against
// other routes that are refused for a document that only adds something.
func TestUnknownKindRefusesTheRoutesThatRequireIt(t *testing.T) {
	table := NewTable("config/", 0)
	table.Apply([]Document{
		{Key: "config/networks/a", Value: []byte(`{"only_from":["10.0.0.0/8"]}`), Revision: 1},
		{Key: ServicePrefix + "a", Value: []byte(`{"name":"a","routes":[{"path":"/1"},{"path":"/2","requires":["networks"]}]}`), Revision: 2},
	})
	if served, refused := servedPaths(table.Snapshot()); served != "/1" || refused != "/2" {
		t.Errorf("served %q, refused %q", served, refused)
	}
}
