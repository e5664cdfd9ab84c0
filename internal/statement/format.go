package statement

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Format returns the text of the declarations in the standard layout. Parsing the text returns equal declarations, apart
// from the draining targets: they are written as a comment, because a drain is not part of a declaration.
func Format(declarations ...Declaration) string {
	blocks := make([]string, len(declarations))
	for i := range declarations {
		blocks[i] = formatDeclaration(&declarations[i])
	}
	return strings.Join(blocks, "\n")
}

func formatDeclaration(d *Declaration) string {
	if d.Account != nil {
		return formatAccount(d.Account)
	}
	var text strings.Builder
	service := &d.Service
	fmt.Fprintf(&text, "declare service %s", quoteIfNeeded(string(service.Name)))
	if d.Revision != AnyRevision {
		fmt.Fprintf(&text, " at revision %d", d.Revision)
	}
	text.WriteString(" {\n")
	formatItems(&text, service)
	for i := range service.Routes {
		text.WriteString(formatRoute(&service.Routes[i]))
	}
	text.WriteString("}\n")
	return text.String()
}

func formatItems(text *strings.Builder, service *declaration.Service) {
	if len(service.Draining) > 0 {
		fmt.Fprintf(text, "  # draining: %q\n", service.Draining)
	}
	if service.FloorSlots != 0 {
		fmt.Fprintf(text, "  floor %d slots;\n", service.FloorSlots)
	}
	if policy := formatPolicy(service.Policy); policy != "" {
		fmt.Fprintf(text, "  policy %s;\n", policy)
	}
	if len(service.Prefer) > 0 {
		fmt.Fprintf(text, "  prefer %s;\n", joinWords(service.Prefer))
	}
}

// formatPolicy returns an empty string for the zero policy.
func formatPolicy(policy declaration.Policy) string {
	if policy == (declaration.Policy{}) {
		return ""
	}
	text := string(policy.Preset)
	if text == "" {
		text = defaultPolicy
	}
	if policy.FalseAlarmRate != 0 {
		text += " false_alarm_rate " + formatRate(policy.FalseAlarmRate)
	}
	if policy.FailureRate != 0 {
		text += " failure_rate " + formatRate(policy.FailureRate)
	}
	return text
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', -1, 64) }

func formatRoute(route *declaration.Route) string {
	items := routeItems(route)
	if len(items) == 0 {
		return fmt.Sprintf("  route %s;\n", routeHead(route))
	}
	return fmt.Sprintf("  route %s {\n    %s\n  }\n", routeHead(route), strings.Join(items, "\n    "))
}

// routeHead formats the methods, the path and the host, which identify a route within its service.
func routeHead(route *declaration.Route) string {
	head := strconv.Quote(route.Path)
	if len(route.Methods) > 0 {
		head = strings.Join(route.Methods, ", ") + " " + head
	}
	if route.Host != "" {
		head += " host " + quoteIfNeeded(route.Host)
	}
	return head
}

func routeItems(route *declaration.Route) []string {
	var items []string
	add := func(format string, value any) { items = append(items, fmt.Sprintf(format, value)) }
	if route.Class != "" {
		add("class %s;", route.Class)
	}
	if route.TimeoutMS != 0 {
		add("timeout %s;", formatMilliseconds(route.TimeoutMS))
	}
	if route.FirstByteMS != 0 {
		add("first_byte %s;", formatMilliseconds(route.FirstByteMS))
	}
	if route.Priority != "" {
		add("priority %s;", route.Priority)
	}
	if len(route.RetryStatuses) > 0 {
		add("retry on %s;", joinNumbers(route.RetryStatuses))
	}
	if len(route.FailStatuses) > 0 {
		add("fail on %s;", joinNumbers(route.FailStatuses))
	}
	if route.RequiresKey {
		add("requires %s;", requirement)
	}
	return items
}

// formatMilliseconds formats values outside the valid range as plain milliseconds, because the conversion to
// time.Duration could overflow.
func formatMilliseconds(ms int64) string {
	if ms < 0 || ms > maxRouteTime.Milliseconds() {
		return fmt.Sprintf("%dms", ms)
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

var unquotedWord = regexp.MustCompile(`^[A-Za-z0-9_.:/*+-]+$`)

// quoteIfNeeded quotes a text that is not a single Word token.
func quoteIfNeeded(text string) string {
	if unquotedWord.MatchString(text) {
		return text
	}
	return strconv.Quote(text)
}

func joinWords[T ~string](list []T) string {
	return strings.Join(mapSlice(list, func(element T) string { return quoteIfNeeded(string(element)) }), ", ")
}

func joinNumbers(list []int) string {
	return strings.Join(mapSlice(list, strconv.Itoa), ", ")
}
