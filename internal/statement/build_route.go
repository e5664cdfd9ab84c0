package statement

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// maxRouteTime bounds the time spans of a route.
const maxRouteTime = 24 * time.Hour

// route builds a route. lines holds the line of each host, method list and path of the service.
func (b *builder) route(node *routeNode, lines map[string]int) declaration.Route {
	var route declaration.Route
	for _, method := range node.Methods {
		route.Methods = append(route.Methods, b.method(method.Pos, method.Text))
	}
	route.Path = b.path(node.Path)
	if node.Host != nil {
		route.Host = b.name(*node.Host, "host")
	}
	b.routeItems(&route, node.Items)
	id := routeID(&route)
	if first, ok := lines[id]; ok {
		b.fail(node.Pos, "the route is declared before in line %d, with the same host, methods and path", first)
	}
	lines[id] = node.Pos.Line
	return route
}

// routeID names a route within its service.
func routeID(route *declaration.Route) string {
	return route.Host + " " + strings.Join(route.Methods, ",") + " " + route.Path
}

func (b *builder) path(node pathNode) string {
	path := b.text(wordNode(node))
	if !strings.HasPrefix(path, "/") {
		b.fail(node.Pos, "the path %q does not begin with '/'", path)
	}
	return path
}

func (b *builder) routeItems(route *declaration.Route, items []*routeItemNode) {
	seen := make(onceOnly)
	for _, item := range items {
		switch {
		case item.Class != nil:
			b.once(seen, "class", item.Pos)
			route.Class = b.class(*item.Class)
		case item.Timeout != nil:
			b.once(seen, "timeout", item.Pos)
			route.TimeoutMS = b.milliseconds(*item.Timeout)
		case item.FirstByte != nil:
			b.once(seen, "first_byte", item.Pos)
			route.FirstByteMS = b.milliseconds(*item.FirstByte)
		case item.Priority != nil:
			b.once(seen, "priority", item.Pos)
			route.Priority = b.priority(*item.Priority)
		case item.Retry != nil:
			b.once(seen, "retry on", item.Pos)
			route.RetryStatuses = b.statuses(item.Retry)
		default:
			b.once(seen, "fail on", item.Pos)
			route.FailStatuses = b.statuses(item.Fail)
		}
	}
}

func (b *builder) class(word wordNode) declaration.Class {
	class := declaration.Class(b.text(word))
	if class != declaration.Idempotent && class != declaration.NonIdempotent {
		valid := []string{string(declaration.Idempotent), string(declaration.NonIdempotent)}
		b.failWord(word.Pos, "class", string(class), valid)
	}
	return class
}

func (b *builder) priority(word wordNode) declaration.Priority {
	priority := declaration.Priority(b.text(word))
	if priority != declaration.Interactive && priority != declaration.Bulk {
		valid := []string{string(declaration.Interactive), string(declaration.Bulk)}
		b.failWord(word.Pos, "priority", string(priority), valid)
	}
	return priority
}

func (b *builder) milliseconds(word wordNode) int64 {
	span, err := time.ParseDuration(b.text(word))
	if err != nil || span < time.Millisecond || span > maxRouteTime || span%time.Millisecond != 0 {
		b.fail(word.Pos, "the time %s is not valid; use whole milliseconds with a unit, such as 500ms or 30s, at most 24h", word.Text)
		return 0
	}
	return span.Milliseconds()
}

func (b *builder) statuses(list []wordNode) []int {
	statuses := make([]int, 0, len(list))
	for _, word := range list {
		status, err := strconv.Atoi(b.text(word))
		if err != nil || status < 400 || status > 599 {
			b.fail(word.Pos, "the status %s is not a whole number from 400 to 599", word.Text)
		}
		statuses = append(statuses, status)
	}
	return statuses
}
