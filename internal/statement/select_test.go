package statement_test

import (
	"fmt"
	"testing"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// Guards against numeric cells that are compared as text or lose digits as floating-point numbers, and against missing
// or extra rows.
func TestSelect(t *testing.T) {
	table := statement.Table{Columns: statement.Columns(statement.Refusals), Rows: [][]string{
		{"slots_full", "n1", "9"}, {"no_route", "n2", "10"}, {"not_ready", "n1", ""}, {"slots_full", "n2", "9007199254740993"},
	}}
	cases := map[string]string{
		"show refusals where count > 9 columns count":                           "[[10] [9007199254740993]]",
		"show refusals where count = 9007199254740992":                          "[]",
		"show refusals where reason ~ slots and node != n1 columns node":        "[[n2]]",
		"show refusals where count <= 10 columns count sort by count desc":      "[[10] [9] []]",
		"show refusals columns count sort by count limit 2":                     "[[] [9]]",
		"show refusals where reason >= not_ready columns reason sort by reason": "[[not_ready] [slots_full] [slots_full]]",
		"show refusals where count < 10.5 and count >= 9 columns reason":        "[[slots_full] [no_route]]",
	}
	for text, want := range cases {
		parsed, err := statement.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		selected, err := parsed.(*statement.Show).Select(table)
		if got := fmt.Sprint(selected.Rows); err != nil || got != want {
			t.Errorf("%s: %s, %v, want %s", text, got, err, want)
		}
	}
}
