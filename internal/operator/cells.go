package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

func number[T ~int | ~int64 | ~uint64](n T) string { return fmt.Sprint(n) }

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// list joins names with a comma.
func list[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ",")
}

func numberList(numbers []int) string {
	texts := make([]string, len(numbers))
	for i, n := range numbers {
		texts[i] = strconv.Itoa(n)
	}
	return strings.Join(texts, ",")
}

// orElse returns fallback for an empty text.
func orElse[T ~string](text, fallback T) string {
	if text == "" {
		return string(fallback)
	}
	return string(text)
}
