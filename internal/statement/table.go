package statement

import (
	"sort"

	"github.com/pkg/errors"
)

// Table holds rows of cells. The cells of each row are in the order of the columns.
type Table struct {
	Columns []Column
	Rows    [][]string
}

// Select returns the part of the table that the statement asks for. The table has all columns of the statement's kind.
func (s *Show) Select(table Table) (Table, error) {
	index := make(map[string]int, len(table.Columns))
	for i, column := range table.Columns {
		index[column.Name] = i
	}
	if err := s.checkColumns(index); err != nil {
		return Table{}, err
	}
	rows := s.filter(table, index)
	s.sort(table, rows, index)
	if s.Limit > 0 && len(rows) > s.Limit {
		rows = rows[:s.Limit]
	}
	return s.project(table, rows, index), nil
}

func (s *Show) checkColumns(index map[string]int) error {
	names := append([]string(nil), s.Columns...)
	for _, condition := range s.Where {
		names = append(names, condition.Column)
	}
	if s.SortBy != "" {
		names = append(names, s.SortBy)
	}
	for _, name := range names {
		if _, ok := index[name]; !ok {
			return errors.Errorf("table %s has no column %q", s.Kind, name)
		}
	}
	return nil
}

func (s *Show) filter(table Table, index map[string]int) [][]string {
	var rows [][]string
	for _, row := range table.Rows {
		if s.matches(table, row, index) {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *Show) matches(table Table, row []string, index map[string]int) bool {
	for _, condition := range s.Where {
		i := index[condition.Column]
		if !condition.holds(table.Columns[i], row[i]) {
			return false
		}
	}
	return true
}

func (s *Show) sort(table Table, rows [][]string, index map[string]int) {
	if s.SortBy == "" {
		return
	}
	i := index[s.SortBy]
	column := table.Columns[i]
	sort.SliceStable(rows, func(a, b int) bool {
		order := compareCells(column, rows[a][i], rows[b][i])
		if s.Descending {
			return order > 0
		}
		return order < 0
	})
}

func (s *Show) project(table Table, rows [][]string, index map[string]int) Table {
	chosen := s.chosen(table, index)
	selected := Table{Columns: make([]Column, len(chosen))}
	for i, from := range chosen {
		selected.Columns[i] = table.Columns[from]
	}
	for _, row := range rows {
		cells := make([]string, len(chosen))
		for i, from := range chosen {
			cells[i] = row[from]
		}
		selected.Rows = append(selected.Rows, cells)
	}
	return selected
}

// chosen returns the indexes of the columns to show.
func (s *Show) chosen(table Table, index map[string]int) []int {
	var chosen []int
	for _, name := range s.Columns {
		chosen = append(chosen, index[name])
	}
	if len(chosen) > 0 {
		return chosen
	}
	for i, column := range table.Columns {
		if !column.Hidden {
			chosen = append(chosen, i)
		}
	}
	return chosen
}
