package statement

import "github.com/alecthomas/participle/v2/lexer"

// The node types below define the grammar. Where the language allows a fixed set of words the grammar accepts any word,
// so that the checks after parsing can list the set and suggest the nearest word.

type wordNode struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

type fileNode struct {
	Declares []*declareNode `parser:"@@*"`
}

type statementNode struct {
	Show     *showNode     `parser:"  @@"`
	Explain  *explainNode  `parser:"| @@"`
	Add      *addNode      `parser:"| @@"`
	Declare  *declareNode  `parser:"| @@"`
	Drain    *drainNode    `parser:"| @@"`
	Restore  *restoreNode  `parser:"| @@"`
	Remove   *removeNode   `parser:"| @@"`
	Forbid   *forbidNode   `parser:"| @@"`
	Release  *releaseNode  `parser:"| @@"`
	Withdraw *withdrawNode `parser:"| @@"`
}

type showNode struct {
	Kind    wordNode         `parser:"'show' @@"`
	Where   []*conditionNode `parser:"('where' @@ ('and' @@)*)?"`
	Columns []wordNode       `parser:"('columns' @@ (',' @@)*)?"`
	Sort    *sortNode        `parser:"@@?"`
	Limit   *wordNode        `parser:"('limit' @@)? ';'?"`
}

type conditionNode struct {
	Column   wordNode     `parser:"@@"`
	Operator operatorNode `parser:"@@"`
	Value    wordNode     `parser:"@@"`
}

type operatorNode struct {
	Pos  lexer.Position
	Text string `parser:"@Operator"`
}

type sortNode struct {
	Column     wordNode `parser:"'sort' 'by' @@"`
	Descending bool     `parser:"@'desc'?"`
}

type explainNode struct {
	Method wordNode  `parser:"'explain' 'request' @@"`
	Path   wordNode  `parser:"@@"`
	Host   *wordNode `parser:"('host' @@)? ';'?"`
}

type drainNode struct {
	Target wordNode `parser:"'drain' 'target' @@"`
	Force  bool     `parser:"@'force'? ';'?"`
}

type restoreNode struct {
	Target wordNode `parser:"'restore' 'target' @@ ';'?"`
}

type removeNode struct {
	Service *wordNode `parser:"'remove' ('service' @@"`
	Account *wordNode `parser:"| 'account' @@)"`
	Force   bool      `parser:"@'force'? ';'?"`
}

type addNode struct {
	Key     wordNode `parser:"'add' 'key' @@"`
	Account wordNode `parser:"'to' 'account' @@ ';'?"`
}

type forbidNode struct {
	Fingerprint wordNode `parser:"'forbid' 'request' @@ ';'?"`
}

type releaseNode struct {
	Fingerprint wordNode `parser:"'release' 'request' @@ ';'?"`
}

type withdrawNode struct {
	Ejection *ejectionNode    `parser:"'withdraw' (@@"`
	Key      *withdrawKeyNode `parser:"| @@) ';'?"`
}

type ejectionNode struct {
	Target wordNode `parser:"'ejection' 'of' @@"`
}

type withdrawKeyNode struct {
	Key     wordNode `parser:"'key' @@"`
	Account wordNode `parser:"'from' 'account' @@"`
}

type declareNode struct {
	Pos     lexer.Position
	Service *serviceNode `parser:"'declare' (@@"`
	Account *accountNode `parser:"| @@)"`
}

type serviceNode struct {
	Name     wordNode    `parser:"'service' @@"`
	Revision *wordNode   `parser:"('at' 'revision' @@)?"`
	Items    []*itemNode `parser:"'{' @@* '}'"`
}

type accountNode struct {
	Name   wordNode           `parser:"'account' @@"`
	Digest *wordNode          `parser:"('at' 'digest' @@)?"`
	Items  []*accountItemNode `parser:"'{' @@* '}'"`
}

type accountItemNode struct {
	Pos  lexer.Position
	Keys []wordNode `parser:"  'key' @@ (',' @@)* ';'"`
	Rank *wordNode  `parser:"| 'rank' @@ ';'"`
	Rate *rateNode  `parser:"| @@"`
}

type rateNode struct {
	Rate  wordNode  `parser:"'rate' @@"`
	Burst *wordNode `parser:"('burst' @@)? ';'"`
}

type itemNode struct {
	Pos    lexer.Position
	Floor  *wordNode   `parser:"  'floor' @@ 'slots' ';'"`
	Policy *policyNode `parser:"| 'policy' @@ ';'"`
	Prefer []wordNode  `parser:"| 'prefer' @@ (',' @@)* ';'"`
	Route  *routeNode  `parser:"| @@"`
}

type policyNode struct {
	Preset         wordNode  `parser:"@@"`
	FalseAlarmRate *wordNode `parser:"('false_alarm_rate' @@)?"`
	FailureRate    *wordNode `parser:"('failure_rate' @@)?"`
}

type routeNode struct {
	Pos     lexer.Position
	Methods []methodNode     `parser:"'route' (@@ (',' @@)*)?"`
	Path    pathNode         `parser:"@@"`
	Host    *wordNode        `parser:"('host' @@)?"`
	Items   []*routeItemNode `parser:"('{' @@* '}' ';'? | ';')"`
}

type methodNode struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

type pathNode struct {
	Pos  lexer.Position
	Text string `parser:"@String"`
}

type routeItemNode struct {
	Pos       lexer.Position
	Class     *wordNode  `parser:"  'class' @@ ';'"`
	Timeout   *wordNode  `parser:"| 'timeout' @@ ';'"`
	FirstByte *wordNode  `parser:"| 'first_byte' @@ ';'"`
	Priority  *wordNode  `parser:"| 'priority' @@ ';'"`
	Retry     []wordNode `parser:"| 'retry' 'on' @@ (',' @@)* ';'"`
	Fail      []wordNode `parser:"| 'fail' 'on' @@ (',' @@)* ';'"`
	Requires  *wordNode  `parser:"| 'requires' @@ ';'"`
}

// keywords lists the keywords of the grammar, for suggestions.
var keywords = []string{
	"show", "where", "and", "columns", "sort", "by", "desc", "limit", "explain", "request", "host", "declare", "service",
	"at", "revision", "floor", "slots", "policy", "false_alarm_rate", "failure_rate", "prefer", "route", "class", "timeout",
	"first_byte", "priority", "retry", "fail", "on", "drain", "target", "force", "restore", "remove", "forbid", "release",
	"withdraw", "ejection", "of", "account", "digest", "add", "key", "to", "from", "rank", "rate", "burst", "requires",
}
