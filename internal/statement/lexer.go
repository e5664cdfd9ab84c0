package statement

import "github.com/alecthomas/participle/v2/lexer"

// tokens splits a text. Strings keep their quotes, so that a quoted word is never taken for a keyword.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "comment", Pattern: `#[^\n]*`},
	{Name: "space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Punctuation", Pattern: `[{};,]`},
	{Name: "Word", Pattern: `[^\s{};,"#=!<>~]+`},
})
