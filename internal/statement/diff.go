package statement

import (
	"fmt"
	"strings"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Diff lists the differences between two declarations in the order of the fields of to, followed by the fields that only
// from has. A nil service is one that is not declared.
func Diff(from, to *declaration.Service) []Difference {
	var list []Difference
	before, after := declarationFields(from), declarationFields(to)
	for _, field := range fieldOrder(before, after) {
		if before.values[field] != after.values[field] {
			list = append(list, Difference{Field: field, Old: before.values[field], New: after.values[field]})
		}
	}
	return list
}

// fieldSet is the formatted fields of a declaration, in the order in which they were set.
type fieldSet struct {
	order  []string
	values map[string]string
}

// set adds a field. Fields with an empty value count as absent.
func (f *fieldSet) set(name, value string) {
	if value == "" {
		return
	}
	f.order = append(f.order, name)
	f.values[name] = value
}

func declarationFields(service *declaration.Service) *fieldSet {
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

// fieldOrder returns the names of the fields of to, followed by those that exist only in from.
func fieldOrder(from, to *fieldSet) []string {
	order := append([]string(nil), to.order...)
	for _, field := range from.order {
		if _, ok := to.values[field]; !ok {
			order = append(order, field)
		}
	}
	return order
}
