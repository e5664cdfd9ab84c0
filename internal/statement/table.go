package statement

import (
	"sort"

	"github.com/pkg/errors"
)

// Table is the result of a query. The cells of each row are in the order of the columns.
type Table struct {
	Columns []Column
	Rows    [][]string
}

// Select returns the rows and columns of the table that the statement selects. The table must have all columns of the
// statement's kind.
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
		if !condition.matchesCell(table.Columns[i], row[i]) {
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
	columnIndexes := s.columnIndexes(table, index)
	selected := Table{Columns: make([]Column, len(columnIndexes))}
	for i, columnIndex := range columnIndexes {
		selected.Columns[i] = table.Columns[columnIndex]
	}
	for _, row := range rows {
		cells := make([]string, len(columnIndexes))
		for i, columnIndex := range columnIndexes {
			cells[i] = row[columnIndex]
		}
		selected.Rows = append(selected.Rows, cells)
	}
	return selected
}

// columnIndexes returns the indexes of the columns to show.
func (s *Show) columnIndexes(table Table, index map[string]int) []int {
	var columnIndexes []int
	for _, name := range s.Columns {
		columnIndexes = append(columnIndexes, index[name])
	}
	if len(columnIndexes) > 0 {
		return columnIndexes
	}
	for i, column := range table.Columns {
		if !column.Hidden {
			columnIndexes = append(columnIndexes, i)
		}
	}
	return columnIndexes
}
