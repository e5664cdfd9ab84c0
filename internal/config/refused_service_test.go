package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// servedPaths returns the paths of the routes of service "a" that are in force, and of those that are refused.
func servedPaths(snapshot *Snapshot) (served, refused string) {
	var paths, refusals []string
	for _, route := range snapshot.Services["a"].Routes {
		if route.Refusal() == nil {
			paths = append(paths, route.Path)
		} else if strings.HasPrefix(route.Path, "/") {
			refusals = append(refusals, route.Path)
		}
	}
	slices.Sort(paths)
	slices.Sort(refusals)
	return strings.Join(paths, " "), strings.Join(refusals, " ")
}

// Guards against a document that restricts more than the one before it, is not understood in a part, and leaves that one in force.
func TestDocumentWithFaultReplacesTheOneBeforeIt(t *testing.T) {
	for name, test := range map[string]struct{ fields, served, refused string }{
		"valid":                 {`"name":"a","routes":[{"path":"/new"}]`, "/new", ""},
		"value of a route":      {`"name":"a","routes":[{"path":"/new"},{"path":"/odd","timeout_ms":-1}]`, "/new", "/odd"},
		"path of a route":       {`"name":"a","routes":[{"path":"/new"},{"path":["/odd"]}]`, "", "/1 /new"},
		"path without a slash":  {`"name":"a","routes":[{"path":"/new"},{"path":"odd"}]`, "", "/1 /new"},
		"path twice":            {`"name":"a","routes":[{"path":"/new"},{"path":"/odd","path":"/x"}]`, "", "/1 /new"},
		"path in other case":    {`"name":"a","routes":[{"path":"/new"},{"Path":"/odd"}]`, "", "/1 /new"},
		"host of a route":       {`"name":"a","routes":[{"path":"/new"},{"path":"/odd","host":7}]`, "", "/1 /new"},
		"host null":             {`"name":"a","routes":[{"path":"/new"},{"path":"/odd","host":null}]`, "", "/1 /new"},
		"methods of a route":    {`"name":"a","routes":[{"path":"/new"},{"path":"/odd","methods":"GET"}]`, "", "/1 /new"},
		"route as text":         {`"name":"a","routes":[{"path":"/new"},"/odd"]`, "", "/1 /new"},
		"route null":            {`"name":"a","routes":[{"path":"/new"},null]`, "", "/1 /new"},
		"routes as an object":   {`"name":"a","routes":{"path":"/new"}`, "", "/1"},
		"routes twice":          {`"name":"a","routes":[{"path":"/one"}],"routes":[{"path":"/two"}]`, "", "/1 /one /two"},
		"routes in other case":  {`"name":"a","Routes":[{"path":"/new"}]`, "", "/1 /new"},
		"floor out of range":    {`"name":"a","floor_slots":-1,"routes":[{"path":"/new"}]`, "", "/1 /new"},
		"floor as text":         {`"name":"a","floor_slots":"many","routes":[{"path":"/new"}]`, "", "/1 /new"},
		"unknown policy":        {`"name":"a","policy":{"preset":"later"},"routes":[{"path":"/new"}]`, "", "/1 /new"},
		"policy as a list":      {`"name":"a","policy":[],"routes":[{"path":"/new"}]`, "", "/1 /new"},
		"version as a number":   {`"name":"a","version":7,"routes":[{"path":"/new"}]`, "", "/1 /new"},
		"draining as text":      {`"name":"a","draining":"t1","routes":[{"path":"/new"}]`, "", "/1 /new"},
		"unknown field":         {`"name":"a","later":{},"routes":[{"path":"/new"}]`, "", "/1 /new"},
		"unknown requirement":   {`"name":"a","requires":["later"],"routes":[{"path":"/new"}]`, "", "/1 /new"},
		"place of the last one": {`"name":"a","later":{},"routes":[{"path":"/1"}]`, "", "/1"},
		"no name":               {`"routes":[{"path":"/new"}]`, "", "/1 /new"},
		"name as a number":      {`"name":7,"routes":[{"path":"/new"}]`, "", "/1 /new"},
		"name twice":            {`"name":"a","name":"b","routes":[{"path":"/new"}]`, "", "/1 /new"},
		"name in other case":    {`"Name":"b","routes":[{"path":"/new"}]`, "", "/1 /new"},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable("config/", 0)
			table.Apply([]Document{serviceDocument("a", 1)})
			table.Apply([]Document{{Key: ServicePrefix + "a", Value: []byte("{" + test.fields + "}"), Revision: 2}})
			snapshot := table.Snapshot()
			if snapshot.Revisions["a"] != 2 || len(snapshot.Rejected) != 0 {
				t.Fatalf("revisions in force %v, rejected %v", snapshot.Revisions, snapshot.Rejected)
			}
			if served, refused := servedPaths(snapshot); served != test.served || refused != test.refused {
				t.Errorf("served %q, refused %q, want %q and %q", served, refused, test.served, test.refused)
			}
		})
	}
}

// Guards against routes that reach a less specific one because a second document with a fault, or one that is damaged, has replaced
// the refused one, and against a refusal that stays after its end.
func TestRefusalOfServiceEndsWithTheNextDocumentThatIsUnderstood(t *testing.T) {
	table := NewTable("config/", 0)
	for _, step := range []struct {
		value           string
		inForce         int64
		served, refused string
	}{
		{`{"name":"a","routes":[{"path":"/1"}]}`, 1, "/1", ""},
		{`{"name":"a","later":{},"routes":[{"path":"/2"}]}`, 2, "", "/1 /2"},
		{`{"name":"a","later":{},"routes":[{"path":"/3"}]}`, 3, "", "/1 /3"},
		{`{`, 3, "", "/1 /3"},
		{`{"name":"b","routes":[]}`, 3, "", "/1 /3"},
		{`[]`, 3, "", "/1 /3"},
		{`null`, 3, "", "/1 /3"},
		{`{"name":"a","routes":[{"path":"/4"}]}`, 8, "/4", ""},
		{`{"name":"a","routes":7}`, 9, "", "/4"},
	} {
		revision := table.Revision() + 1
		table.Apply([]Document{{Key: ServicePrefix + "a", Value: []byte(step.value), Revision: revision}})
		snapshot := table.Snapshot()
		served, refused := servedPaths(snapshot)
		if served != step.served || refused != step.refused || snapshot.Revisions["a"] != step.inForce {
			t.Errorf("revision %d: served %q, refused %q at %d, want %+v", revision, served, refused, snapshot.Revisions["a"], step)
		}
	}
	table.Apply([]Document{{Key: ServicePrefix + "a", Revision: 10, Deleted: true}})
	table.Apply([]Document{{Key: ServicePrefix + "a", Value: []byte(`{"name":"a","routes":7}`), Revision: 11}})
	if routes := table.Snapshot().Services["a"].Routes; len(routes) != 0 {
		t.Errorf("routes of a deleted service: %+v", routes)
	}
}

// Guards against a refused service that reaches requests which its last valid document did not have, and misses some that it had.
func TestRefusedServiceKeepsThePlacesOfItsRoutes(t *testing.T) {
	table := NewTable("config/", 0)
	for i, value := range []string{
		`{"name":"a","routes":[{"host":"h","path":"/x","methods":["GET"]},{"path":"/y"}]}`,
		`{"name":"a","later":1,"routes":[{"path":"/x"},{"path":"/y","below_only":true}]}`,
	} {
		table.Apply([]Document{{Key: ServicePrefix + "a", Value: []byte(value), Revision: int64(i + 1)}})
	}
	places := []string{}
	for _, route := range table.Snapshot().Services["a"].Routes {
		places = append(places, fmt.Sprint(route.Host, route.Path, " ", route.Methods, route.BelowOnly, route.ClassOf("GET")))
	}
	slices.Sort(places)
	if want := []string{"/x [] falsenon-idempotent", "/y [] falsenon-idempotent", "h/x [GET] falsenon-idempotent"}; !slices.Equal(places, want) {
		t.Errorf("places %q, want %q", places, want)
	}
}

// Guards against a document under the prefix itself that becomes a service without a name.
func TestDocumentWithoutServiceInItsKeyIsRejected(t *testing.T) {
	table := NewTable("config/", 0)
	table.Apply([]Document{{Key: ServicePrefix, Value: []byte(`{"routes":[]}`), Revision: 1}})
	if snapshot := table.Snapshot(); len(snapshot.Services) != 0 || snapshot.Rejected[ServicePrefix].Err == nil {
		t.Errorf("services %v, rejected %v", snapshot.Services, snapshot.Rejected)
	}
}

// Guards against requests that reach a less specific route because a second document with a fault hides the routes of the first.
func TestUnreadableRoutesRefuseThoseOfTheDocumentBefore(t *testing.T) {
	table := NewTable("config/", 0)
	for i, step := range []struct{ value, refused string }{
		{`{"name":"a","routes":[{"path":"/1"}]}`, ""},
		{`{"name":"a","later":{},"routes":[{"path":"/2"}]}`, "/1 /2"},
		{`{"name":"a","routes":7}`, "/1 /2"},
		{`{"name":"a","routes":[{"path":"/3"},{"path":7}]}`, "/1 /2 /3"},
		{`{"name":"a","routes":[{"path":"/4"},{"path":7}]}`, "/1 /2 /4"},
		{`{"name":"a","later":{},"routes":[{"path":"/5"}]}`, "/1 /5"},
		{`{"name":"a","routes":7}`, "/1 /5"},
		{`{"name":"a","routes":[{"path":"/6"}]}`, ""},
		{`{"name":"a","routes":7}`, "/6"},
	} {
		table.Apply([]Document{{Key: ServicePrefix + "a", Value: []byte(step.value), Revision: int64(i + 1)}})
		if _, refused := servedPaths(table.Snapshot()); refused != step.refused {
			t.Errorf("revision %d: refused %q, want %q", i+1, refused, step.refused)
		}
	}
}
