package statement

import "github.com/alecthomas/participle/v2/lexer"

// statementLexer defines the tokens. String tokens keep their quotes, so that a quoted word never matches a keyword.
var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "comment", Pattern: `#[^\n]*`},
	{Name: "space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Punctuation", Pattern: `[{};,]`},
	{Name: "Word", Pattern: `[^\s{};,"#=!<>~]+`},
})
