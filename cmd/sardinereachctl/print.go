package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// columnGap separates the columns of a table.
const columnGap = "  "

// printTable prints aligned columns without trailing spaces. An empty cell is printed as "-".
func printTable(out io.Writer, columns []string, rows [][]string) {
	lines := append([][]string{columns}, rows...)
	widths := make([]int, len(columns))
	for _, line := range lines {
		for i, cell := range line {
			widths[i] = max(widths[i], utf8.RuneCountInString(printableCell(cell)))
		}
	}
	for _, line := range lines {
		fmt.Fprintln(out, alignedLine(line, widths))
	}
}

func alignedLine(cells []string, widths []int) string {
	var line strings.Builder
	for i, cell := range cells {
		text := printableCell(cell)
		line.WriteString(text)
		line.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(text)))
		line.WriteString(columnGap)
	}
	return strings.TrimRight(line.String(), " ")
}

// printableCell returns "-" for an empty cell and replaces control characters, which could manipulate the terminal.
func printableCell(cell string) string {
	if cell == "" {
		return "-"
	}
	return strings.Map(func(c rune) rune {
		if c < ' ' || (c >= 0x7f && c < 0xa0) {
			return '?'
		}
		return c
	}, cell)
}

// printJSON prints the value as one line of JSON.
func (call *invocation) printJSON(value any) {
	encoder := json.NewEncoder(call.out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		call.printStderr("sardinereachctl: %v", err)
	}
}
