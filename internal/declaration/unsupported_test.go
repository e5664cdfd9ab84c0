package declaration

import (
	"encoding/json"
	"slices"
	"testing"
)

// Guards against an unsupported route of one method that is confused with a route of every method at the same path: its
// requests would reach the other one.
func TestUnsupportedRouteKeepsItsMethods(t *testing.T) {
	for name, odd := range map[string]string{"unknown class": `"later"`, "class of another type": `7`} {
		s, err := DecodeStored([]byte(`{"name":"s","routes":[{"path":"/a"},{"path":"/a","methods":["POST"],"class":` + odd + `}]}`))
		if err != nil {
			t.Fatal(err)
		}
		unsupported := s.UnsupportedRoutes()
		if len(unsupported) != 1 || !slices.Equal(unsupported[0].Methods, []string{"POST"}) {
			t.Errorf("%s: unsupported routes %+v, want that of POST", name, unsupported)
		}
	}
}

// Guards against a stored document that ends the node or comes into force although it is not valid, and against a route that is not
// understood and whose requests count as idempotent.
func FuzzDecodeStored(f *testing.F) {
	f.Add([]byte(`{"name":"s","routes":[{"path":"/a"},{"path":"/b","class":"later"},{"path":"/c","timeout_ms":"4s"},{"path":7},null,{"path":"/a"}]}`))
	f.Add([]byte(`{"name":"s","routes":{"a":1}}`))
	f.Add([]byte(`{"name":"s"}`))
	f.Add([]byte(`{"name":"s","routes":[]}`))
	f.Add([]byte(`{"name":"s","floor_slots":"many","routes":[{"path":"/a"}]}`))
	f.Add([]byte(`{"name":"s","policy":{"preset":7,"failure_rate":2},"Routes":[{"path":"/a","host":null}],"routes":[{"path":"/a"}]}`))
	f.Add([]byte(`{"name":"S One","name":7,"routes":[{"path":"/a","path":"/b"},{"path":"c"},{"Path":"/d","methods":["get"]}],"floor_slots":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeStored(data)
		if err != nil {
			return
		}
		if err := s.Validate(); err != nil {
			t.Errorf("a decoded document is not valid: %v", err)
		}
		for _, route := range s.UnsupportedRoutes() {
			if route.Refusal() == nil || route.ClassOf("GET") != NonIdempotent {
				t.Errorf("route %+v is not refused, or counts as idempotent", route)
			}
		}
		if s.Unsupported != "" && len(s.UnsupportedRoutes()) != len(s.Routes) {
			t.Errorf("routes of the unsupported service %+v are in force", s)
		}
		strict, err := Decode(data)
		if err != nil {
			return
		}
		lenient, _ := json.Marshal(s)
		if exact, _ := json.Marshal(strict); string(exact) != string(lenient) {
			t.Errorf("a valid document is decoded as %s, want %s", lenient, exact)
		}
	})
}
