package statement

import "strconv"

func (b *builder) show(node *showNode) *Show {
	show := &Show{Kind: Kind(b.unquote(node.Kind))}
	if _, ok := columnsByKind[show.Kind]; !ok {
		b.addUnknownWord(node.Kind.Pos, "table", string(show.Kind), kindNames())
		return show
	}
	for _, condition := range node.Where {
		show.Where = append(show.Where, b.condition(show.Kind, condition))
	}
	for _, column := range node.Columns {
		show.Columns = append(show.Columns, b.column(show.Kind, column).Name)
	}
	if node.Sort != nil {
		show.SortBy = b.column(show.Kind, node.Sort.Column).Name
		show.Descending = node.Sort.Descending
	}
	if node.Limit != nil {
		show.Limit = b.limit(*node.Limit)
	}
	return show
}

func (b *builder) column(kind Kind, word wordNode) Column {
	name := b.unquote(word)
	column, ok := findColumn(kind, name)
	if !ok {
		b.addUnknownWord(word.Pos, "column of "+string(kind), name, columnNames(Columns(kind)))
	}
	return column
}

func (b *builder) condition(kind Kind, node *conditionNode) Condition {
	column := b.column(kind, node.Column)
	condition := Condition{Column: column.Name, Operator: Operator(node.Operator.Text), Value: b.unquote(node.Value)}
	if !column.Numeric {
		return condition
	}
	if condition.Operator == Contains {
		b.addError(node.Operator.Pos, "the column %s holds numbers, which %q does not compare; use = != < <= > >=", column.Name, Contains)
	}
	if _, err := strconv.ParseFloat(condition.Value, 64); err != nil {
		b.addError(node.Value.Pos, "the column %s holds numbers, and %q is none", column.Name, condition.Value)
	}
	return condition
}

func (b *builder) limit(word wordNode) int {
	limit, err := strconv.Atoi(b.unquote(word))
	if err != nil || limit < 1 {
		b.addError(word.Pos, "the limit %s is not a whole number above 0", word.Text)
	}
	return limit
}
