package declaration

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against a route whose numbers are valid one by one and overflow when they are used: times that become negative as
// durations, and weights whose sum is infinite.
func TestNumbersThatOverflowAreInvalid(t *testing.T) {
	for name, route := range map[string]Route{
		"timeout":                {Path: "/", TimeoutMS: math.MaxInt64},
		"timeout in nanoseconds": {Path: "/", TimeoutMS: math.MaxInt64/int64(time.Millisecond) + 1},
		"timeout of a century":   {Path: "/", TimeoutMS: (100 * 365 * 24 * time.Hour).Milliseconds()},
		"first byte":             {Path: "/", FirstByteMS: math.MaxInt64},
		"objective":              {Path: "/", ObjectiveMS: math.MaxInt64},
		"weights":                {Path: "/", Split: []Share{{"a", math.MaxFloat64}, {"b", math.MaxFloat64}}},
		"infinite weight":        {Path: "/", Split: []Share{{"a", math.Inf(1)}}},
		"no number":              {Path: "/", Split: []Share{{"a", math.NaN()}}},
		"negative timeout":       {Path: "/", TimeoutMS: math.MinInt64},
		"negative attempts":      {Path: "/", MaxAttempts: math.MinInt},
		"negative rank":          {Path: "/", Rank: -1},
		"negative weight":        {Path: "/", Split: []Share{{"a", -1}}},
	} {
		service := Service{Name: "s", Routes: []Route{route}}
		if err := service.Validate(); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards against a document that ends the node, and against accepting one whose timeouts overflow.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"s","routes":[{"path":"/s","timeout_ms":9223372036854775807,"split":[{"service":"a","weight":1e308}]}]}`))
	f.Add([]byte(strings.Repeat("[", 20_000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		for _, route := range s.Routes {
			for _, ms := range []int64{route.TimeoutMS, route.FirstByteMS, route.ObjectiveMS} {
				if time.Duration(ms)*time.Millisecond < 0 {
					t.Errorf("%d ms overflow", ms)
				}
			}
			positive := slices.ContainsFunc(route.Split, func(share Share) bool { return share.Weight > 0 })
			if positive && Pick(route.Split, 0.5) == "" {
				t.Errorf("no service picked from %v", route.Split)
			}
		}
	})
}
