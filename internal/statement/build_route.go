package statement

import (
	"strconv"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// maxRouteTime is the longest duration that a route may set.
const maxRouteTime = 24 * time.Hour

// route builds a route. lines maps the ID of each route of the service so far to its line, to detect duplicates.
func (b *builder) route(node *routeNode, lines map[string]int) declaration.Route {
	var route declaration.Route
	for _, method := range node.Methods {
		route.Methods = append(route.Methods, b.method(method.Pos, method.Text))
	}
	route.Path = b.path(node.Path)
	if node.Host != nil {
		route.Host = b.nonEmpty(*node.Host, "host")
	}
	b.routeItems(&route, node.Items)
	id := routeID(&route)
	if first, ok := lines[id]; ok {
		b.addError(node.Pos, "the route is declared before in line %d, with the same host, methods and path", first)
	}
	lines[id] = node.Pos.Line
	return route
}

// routeID identifies a route within its service.
func routeID(route *declaration.Route) string {
	return route.Host + " " + strings.Join(route.Methods, ",") + " " + route.Path
}

func (b *builder) path(node pathNode) string {
	path := b.unquote(wordNode(node))
	if !strings.HasPrefix(path, "/") {
		b.addError(node.Pos, "the path %q does not begin with '/'", path)
	}
	return path
}

func (b *builder) routeItems(route *declaration.Route, items []*routeItemNode) {
	lines := make(settingLines)
	for _, item := range items {
		switch {
		case item.Class != nil:
			b.checkDuplicate(lines, "class", item.Pos)
			route.Class = b.class(*item.Class)
		case item.Timeout != nil:
			b.checkDuplicate(lines, "timeout", item.Pos)
			route.TimeoutMS = b.milliseconds(*item.Timeout)
		case item.FirstByte != nil:
			b.checkDuplicate(lines, "first_byte", item.Pos)
			route.FirstByteMS = b.milliseconds(*item.FirstByte)
		case item.Priority != nil:
			b.checkDuplicate(lines, "priority", item.Pos)
			route.Priority = b.priority(*item.Priority)
		case item.Retry != nil:
			b.checkDuplicate(lines, "retry on", item.Pos)
			route.RetryStatuses = b.statuses(item.Retry)
		case item.Requires != nil:
			b.checkDuplicate(lines, "requires", item.Pos)
			route.RequiresKey = b.requiredKey(*item.Requires)
		default:
			b.checkDuplicate(lines, "fail on", item.Pos)
			route.FailStatuses = b.statuses(item.Fail)
		}
	}
}

func (b *builder) class(word wordNode) declaration.Class {
	class := declaration.Class(b.unquote(word))
	if class != declaration.Idempotent && class != declaration.NonIdempotent {
		valid := []string{string(declaration.Idempotent), string(declaration.NonIdempotent)}
		b.addUnknownWord(word.Pos, "class", string(class), valid)
	}
	return class
}

func (b *builder) priority(word wordNode) declaration.Priority {
	priority := declaration.Priority(b.unquote(word))
	if priority != declaration.Interactive && priority != declaration.Bulk {
		valid := []string{string(declaration.Interactive), string(declaration.Bulk)}
		b.addUnknownWord(word.Pos, "priority", string(priority), valid)
	}
	return priority
}

// requirement is the only word that a route may require of its callers.
const requirement = "key"

func (b *builder) requiredKey(word wordNode) bool {
	if required := b.unquote(word); required != requirement {
		b.addUnknownWord(word.Pos, "requirement", required, []string{requirement})
	}
	return true
}

func (b *builder) milliseconds(word wordNode) int64 {
	duration, err := time.ParseDuration(b.unquote(word))
	if err != nil || duration < time.Millisecond || duration > maxRouteTime || duration%time.Millisecond != 0 {
		b.addError(word.Pos, "the time %s is not valid; use whole milliseconds with a unit, such as 500ms or 30s, at most 24h", word.Text)
		return 0
	}
	return duration.Milliseconds()
}

func (b *builder) statuses(list []wordNode) []int {
	statuses := make([]int, 0, len(list))
	for _, word := range list {
		status, err := strconv.Atoi(b.unquote(word))
		if err != nil || status < 400 || status > 599 {
			b.addError(word.Pos, "the status %s is not a whole number from 400 to 599", word.Text)
		}
		statuses = append(statuses, status)
	}
	return statuses
}
