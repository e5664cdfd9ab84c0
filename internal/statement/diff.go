package statement

import (
	"fmt"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Diff lists the differences from one declaration to another, in the order of the language. nil stands for a service
// that is not declared.
func Diff(from, to *declaration.Service) []Difference {
	var list []Difference
	before, after := fields(from), fields(to)
	for _, field := range fieldOrder(before, after) {
		if before.values[field] != after.values[field] {
			list = append(list, Difference{Field: field, Old: before.values[field], New: after.values[field]})
		}
	}
	return list
}

// fieldSet holds the fields of a declaration in their order.
type fieldSet struct {
	order  []string
	values map[string]string
}

func (f *fieldSet) set(name, value string) {
	if value == "" {
		return
	}
	f.order = append(f.order, name)
	f.values[name] = value
}

func fields(service *declaration.Service) *fieldSet {
	set := &fieldSet{values: make(map[string]string)}
	if service == nil {
		return set
	}
	set.set("service", string(service.Name))
	set.set("floor", fmt.Sprintf("%d slots", service.FloorSlots))
	set.set("policy", formatPolicy(service.Policy))
	set.set("prefer", joinWords(service.Prefer))
	set.set("draining", joinWords(service.Draining))
	for i := range service.Routes {
		set.set("route "+routeHead(&service.Routes[i]), routeValue(&service.Routes[i]))
	}
	return set
}

func routeValue(route *declaration.Route) string {
	return "{ " + strings.Join(append(routeItems(route), "}"), " ")
}

// fieldOrder returns the fields of to, then those that only from has.
func fieldOrder(from, to *fieldSet) []string {
	order := append([]string(nil), to.order...)
	for _, field := range from.order {
		if _, ok := to.values[field]; !ok {
			order = append(order, field)
		}
	}
	return order
}
