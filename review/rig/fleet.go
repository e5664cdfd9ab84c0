package main

import "time"

const (
	host     = "fees.example"
	getPath  = "/tariff/"
	postPath = "/post/"
)

// startFleet starts four machines of one service in two zones and writes the first configuration.
func (w *world) startFleet(work time.Duration) error {
	w.store.put(names.ConfigurationKey, configuration(7, []string{"ledger"}, w.firstRoutes()))
	for _, zone := range []string{"north-a", "north-a", "north-b", "north-b"} {
		if err := w.addMachine(zone, "north", "ledger", work); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// firstRoutes returns the routes of the first configuration.
func (w *world) firstRoutes() map[string]route {
	return map[string]route{
		"r-get": {Host: host, Prefix: getPath, Kind: "idempotent", TimeoutS: 2, ObjectiveS: 1, Priority: 2, Service: "ledger", MaxAttempts: 2},
		"r-post": {Host: host, Prefix: postPath, Kind: "non_idempotent", TimeoutS: 2, ObjectiveS: 1, Priority: 1, Service: "ledger",
			MaxAttempts: 2},
	}
}
