package statement_test

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
)

var (
	anyHost   = rapid.SampledFrom([]string{"", "h.example", "a b", `q"uote`, "at", "é"})
	anyStatus = rapid.SliceOfNDistinct(rapid.IntRange(400, 599), 0, 3, rapid.ID[int])
	anyTime   = rapid.Int64Range(0, 86_400_000)
	anyRate   = rapid.SampledFrom([]float64{0, 1e-9, 0.25, 0.999})
)

func drawRoute(t *rapid.T) declaration.Route {
	return declaration.Route{
		Host:          anyHost.Draw(t, "host"),
		Methods:       nilIfEmpty(rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"GET", "POST", "M-SEARCH"}), 0, 3, rapid.ID[string]).Draw(t, "methods")),
		Path:          "/" + rapid.String().Draw(t, "path"),
		Class:         rapid.SampledFrom([]declaration.Class{"", declaration.Idempotent, declaration.NonIdempotent}).Draw(t, "class"),
		TimeoutMS:     anyTime.Draw(t, "timeout"),
		FirstByteMS:   anyTime.Draw(t, "first byte"),
		RetryStatuses: nilIfEmpty(anyStatus.Draw(t, "retry")),
		FailStatuses:  nilIfEmpty(anyStatus.Draw(t, "fail")),
		Priority:      rapid.SampledFrom([]declaration.Priority{"", declaration.Interactive, declaration.Bulk}).Draw(t, "priority"),
		RequiresKey:   rapid.Bool().Draw(t, "requires key"),
	}
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

func drawService(t *rapid.T) declaration.Service {
	return declaration.Service{
		Name:       model.ServiceName(rapid.StringMatching(`[a-z0-9]([a-z0-9.-]{0,8}[a-z0-9])?`).Draw(t, "name")),
		FloorSlots: rapid.IntRange(0, 1000).Draw(t, "floor"),
		Prefer:     nilIfEmpty(rapid.SliceOfNDistinct(rapid.SampledFrom([]model.Region{"tas-south", "north", "a;b", "at"}), 0, 3, rapid.ID[model.Region]).Draw(t, "prefer")),
		Policy: declaration.Policy{
			Preset:         rapid.SampledFrom([]declaration.Preset{"", declaration.PresetHuon, declaration.PresetDala}).Draw(t, "preset"),
			FalseAlarmRate: anyRate.Draw(t, "false alarms"),
			FailureRate:    anyRate.Draw(t, "failures"),
		},
		Routes: rapid.SliceOfNDistinct(rapid.Custom(drawRoute), 0, 4, func(r declaration.Route) string { return r.Path }).Draw(t, "routes"),
	}
}

// Guards against an export whose text does not parse to the active declarations.
func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := statement.Declaration{Service: drawService(t), Revision: rapid.Int64Range(-1, 1<<40).Draw(t, "revision"), Line: 1}
		text := statement.Format(want)
		got, err := statement.ParseDeclarations(text)
		if err != nil || len(got) != 1 || !reflect.DeepEqual(got[0], want) {
			t.Fatalf("%s\ngives %+v, %v, want %+v", text, got, err, want)
		}
		if differences := statement.Diff(&want.Service, &got[0].Service); len(differences) > 0 {
			t.Fatalf("a declaration differs from itself: %v", differences)
		}
	})
}

// changeOneField returns service with one field, or one field of its first route, taken from other.
func changeOneField(t *rapid.T, service, other declaration.Service) declaration.Service {
	service.Routes = append([]declaration.Route{}, service.Routes...)
	if len(service.Routes) > 0 && rapid.Bool().Draw(t, "in a route") {
		otherRoute := drawRoute(t)
		field := rapid.IntRange(0, reflect.TypeFor[declaration.Route]().NumField()-1).Draw(t, "route field")
		reflect.ValueOf(&service.Routes[0]).Elem().Field(field).Set(reflect.ValueOf(otherRoute).Field(field))
		if err := service.Validate(); err != nil && strings.Contains(err.Error(), "declared twice") {
			t.Skip(err)
		}
		return service
	}
	field := rapid.IntRange(0, reflect.TypeFor[declaration.Service]().NumField()-1).Draw(t, "field")
	reflect.ValueOf(&service).Elem().Field(field).Set(reflect.ValueOf(other).Field(field))
	return service
}

// Guards against a change for which Diff returns no difference, which would hide it from the operator.
func TestDiffFindsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := drawService(t)
		to := changeOneField(t, from, drawService(t))
		encodedFrom, errFrom := from.Encode()
		encodedTo, errTo := to.Encode()
		if errFrom != nil || errTo != nil {
			t.Fatal(errFrom, errTo)
		}
		differs := len(statement.Diff(&from, &to)) > 0
		if equal := string(encodedFrom) == string(encodedTo); equal == differs {
			t.Fatalf("equal %v, differences %v:\n%s\n%s", equal, differs, encodedFrom, encodedTo)
		}
	})
}
