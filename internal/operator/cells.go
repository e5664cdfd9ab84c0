package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

func number[T ~int | ~int64 | ~uint64](n T) string { return fmt.Sprint(n) }

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// joinNames returns the names separated by commas.
func joinNames[T ~string](names []T) string {
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = string(name)
	}
	return strings.Join(parts, ",")
}

func joinNumbers(numbers []int) string {
	texts := make([]string, len(numbers))
	for i, n := range numbers {
		texts[i] = strconv.Itoa(n)
	}
	return strings.Join(texts, ",")
}

// orElse returns text, or fallback if text is empty.
func orElse[T ~string](text, fallback T) string {
	if text == "" {
		return string(fallback)
	}
	return string(text)
}
