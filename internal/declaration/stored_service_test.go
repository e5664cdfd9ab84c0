package declaration

import (
	"slices"
	"strings"
	"testing"
)

// Guards against a route that is served as though a restriction did not exist, because the build does not know its name, or reads
// another one of two values.
func TestRouteWithUnknownRestrictionIsUnsupported(t *testing.T) {
	for name, odd := range map[string]string{
		"unknown field":       `{"path":"/odd","only_from":["10.0.0.0/8"]}`,
		"unknown share field": `{"path":"/odd","split":[{"service":"s","weight":1,"only_from":"x"}]}`,
		"unknown requirement": `{"path":"/odd","requires":["api_keys","client_certificates"]}`,
		"other letter case":   `{"path":"/odd","Requires_Key":true}`,
		"field given twice":   `{"path":"/odd","requires_key":true,"requires_key":false}`,
		"null":                `{"path":"/odd","requires_key":null}`,
		"key as text":         `{"path":"/odd","requires_key":"yes"}`,
		"same place, known":   `{"path":"/odd","later":1},{"path":"/odd"}`,
	} {
		s, err := DecodeStored([]byte(`{"name":"s","policy":{},"routes":[{"path":"/a","requires_key":true},` + odd + `]}`))
		if err != nil {
			t.Fatal(err)
		}
		if !s.Routes[0].RequiresKey || s.Routes[0].Refusal() != nil || s.Unsupported != "" {
			t.Errorf("%s: the other route is %+v", name, s.Routes[0])
		}
		for i := range s.Routes[1:] {
			if route := &s.Routes[1+i]; route.Refusal() == nil || route.Path != "/odd" {
				t.Errorf("%s: route %+v is served", name, route)
			}
		}
		if _, err := Decode([]byte(`{"name":"s","policy":{},"routes":[` + odd + `]}`)); err == nil {
			t.Errorf("%s: accepted from an operator", name)
		}
	}
}

// Guards against routes that are served although their service has a restriction that this build does not know.
func TestServiceWithUnknownFieldIsUnsupported(t *testing.T) {
	for _, odd := range []string{`"floor_slots":-1`, `"floor_slots":"many"`, `"policy":{"preset":"later"}`, `"version":7`, `"tls":{}`, `"Name":"s"`, `"routes":[{"path":"/b"}]`, `"policy":{"later":1}`} {
		document := `{"name":"s","policy":{},"routes":[{"path":"/a"}],"change_id":"x",` + odd + `}`
		s, err := DecodeStored([]byte(document))
		if err != nil {
			t.Fatal(err)
		}
		if s.Unsupported == "" || len(s.UnsupportedRoutes()) != len(s.Routes) || len(s.Routes) == 0 {
			t.Errorf("%s: service %+v is in force", odd, s)
		}
		if _, err := DecodeDocument([]byte(document)); err == nil {
			t.Errorf("%s: a write would remove it", odd)
		}
	}
}

// Guards against a document that no build can read and that is taken for one that restricts.
func TestDamagedServiceDocumentIsAnError(t *testing.T) {
	for _, document := range []string{``, `{`, `null`, `[]`, `7`, `"s"`, `{"name":"s"} x`, strings.Repeat(`{"name":`, 20_000)} {
		if s, err := DecodeStored([]byte(document)); err == nil {
			t.Errorf("%.40s: decoded as %+v", document, s)
		}
	}
}

// Guards against a route with a key that an older build, which ignores unknown fields but reads requirements, serves to everybody, and
// against a canonical form that changes when a document is read and written again.
func TestRouteWithKeyEncodesItsRequirement(t *testing.T) {
	s := Service{Name: "s", Routes: []Route{{Path: "/", RequiresKey: true}, {Path: "/open"}}}
	encoded, err := s.Encode()
	if err != nil || strings.Count(string(encoded), `"requires_key":true,"requires":["api_keys"]`) != 1 || strings.Count(string(encoded), "requires") != 2 {
		t.Fatalf("encoded %s, %v", encoded, err)
	}
	for name, decode := range map[string]func([]byte) (*Service, error){"stored": DecodeStored, "strict": Decode} {
		decoded, err := decode(encoded)
		if err != nil || !slices.Equal(decoded.Routes[0].Requires, s.Routes[0].Requires) {
			t.Fatalf("%s: %+v, %v", name, decoded, err)
		}
		if again, _ := decoded.Encode(); string(again) != string(encoded) {
			t.Errorf("%s: encoded again as %s, want %s", name, again, encoded)
		}
	}
}
