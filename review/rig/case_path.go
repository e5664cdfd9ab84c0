package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["path"] = playPath }

const (
	filesPath   = "/files/"
	reportsPath = "/files/reports/"
	// fileRequests is the number of files that are read and posted.
	fileRequests = 10
)

// playPath: a service has the route /files/, another one the route /files/reports/. Clients of the first name files whose names
// have a slash, which they encode.
func playPath(w *world) (bool, error) {
	routes := map[string]route{
		"r-files":   {Host: host, Prefix: filesPath, Kind: "non_idempotent", TimeoutS: 2, ObjectiveS: 1, Priority: 1, Service: "ledger", MaxAttempts: 2},
		"r-reports": {Host: host, Prefix: reportsPath, Kind: "non_idempotent", TimeoutS: 2, ObjectiveS: 1, Priority: 1, Service: "tariffs", MaxAttempts: 2},
	}
	w.store.put(names.ConfigurationKey, configuration(7, []string{"ledger", "tariffs"}, routes))
	for _, service := range []string{"ledger", "ledger", "tariffs", "tariffs"} {
		if err := w.addMachine("north-a", "north", service, 100*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := &client{all: w.clients, machine: w.machines[0]}
	defer c.close()
	for i := range fileRequests {
		path := fmt.Sprintf("%sbills-%d", filesPath, i)
		if w.trouble {
			path = fmt.Sprintf("%sreports%%2F%d", filesPath, i)
		}
		c.request(http.MethodPost, host, path, []byte("charge"))
		c.request(http.MethodPost, host, fmt.Sprintf("%s%d", reportsPath, i), []byte("charge"))
	}
	return w.judgeRoute(), nil
}

// judgeRoute counts the runs at a service that the only configuration doesn't allow for the path.
func (w *world) judgeRoute() bool {
	allowed := map[string]string{}
	for _, s := range w.clients.results() {
		allowed[s.id] = "ledger"
		if strings.HasPrefix(s.path, reportsPath) {
			allowed[s.id] = "tariffs"
		}
	}
	wrong, right := 0, 0
	for _, t := range w.targets {
		for _, r := range t.allRuns() {
			if allowed[r.id] == t.service {
				right++
				continue
			}
			wrong++
			w.rec.add("ROUTE: %s was run by %s of service %s, its route leads to %s", r.id, t.id, t.service, allowed[r.id])
		}
	}
	w.rec.say("%d requests were run by a service that no configuration allows for their path, %d by the right one", wrong, right)
	return wrong > 0
}
