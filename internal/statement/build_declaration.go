package statement

import (
	"strconv"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

func (b *builder) file(node *fileNode) []Declaration {
	declarations := make([]Declaration, 0, len(node.Declares))
	lines := make(map[string]int)
	for _, declare := range node.Declares {
		declared := b.declaration(declare)
		if first, ok := lines[declared.Title()]; ok {
			b.addError(declare.name().Pos, "the %s is declared before in line %d", declared.Title(), first)
		}
		lines[declared.Title()] = declared.Line
		declarations = append(declarations, declared)
	}
	b.checkKeysOfFile(declarations)
	return declarations
}

// name returns the word that names the service or the account.
func (n *declareNode) name() wordNode {
	if n.Account != nil {
		return n.Account.Name
	}
	return n.Service.Name
}

func (b *builder) declaration(node *declareNode) Declaration {
	if node.Account != nil {
		return Declaration{Account: b.account(node.Account), Line: node.Pos.Line}
	}
	result := b.service(node.Service)
	result.Line = node.Pos.Line
	return result
}

func (b *builder) service(node *serviceNode) Declaration {
	errorsBefore := len(b.errors)
	result := Declaration{Revision: AnyRevision}
	result.Service.Name = model.ServiceName(b.unquote(node.Name))
	result.Service.Routes = []declaration.Route{}
	if node.Revision != nil {
		result.Revision = b.revision(*node.Revision)
	}
	b.items(&result.Service, node.Items)
	if len(b.errors) > errorsBefore {
		return result
	}
	if err := result.Service.Validate(); err != nil {
		b.addError(node.Name.Pos, "%v", err)
	}
	return result
}

func (b *builder) revision(word wordNode) int64 {
	revision, err := strconv.ParseInt(b.unquote(word), 10, 64)
	if err != nil || revision < 0 {
		b.addError(word.Pos, "the revision %s is not a whole number from 0", word.Text)
	}
	return revision
}

func (b *builder) items(service *declaration.Service, items []*itemNode) {
	lines := make(settingLines)
	routes := make(map[string]int)
	for _, item := range items {
		switch {
		case item.Floor != nil:
			b.checkDuplicate(lines, "floor", item.Pos)
			service.FloorSlots = b.floor(*item.Floor)
		case item.Policy != nil:
			b.checkDuplicate(lines, "policy", item.Pos)
			service.Policy = b.policy(item.Policy)
		case item.Route != nil:
			service.Routes = append(service.Routes, b.route(item.Route, routes))
		default:
			b.checkDuplicate(lines, "prefer", item.Pos)
			service.Prefer = b.regions(item.Prefer)
		}
	}
}

// settingLines maps each setting of a block to the line on which it was set.
type settingLines map[string]int

// checkDuplicate adds an error if the block has already set the setting.
func (b *builder) checkDuplicate(lines settingLines, setting string, pos lexer.Position) {
	if first, ok := lines[setting]; ok {
		b.addError(pos, "%s is given before in line %d", setting, first)
		return
	}
	lines[setting] = pos.Line
}

func (b *builder) floor(word wordNode) int {
	slots, err := strconv.Atoi(b.unquote(word))
	if err != nil || slots < 0 {
		b.addError(word.Pos, "the floor %s is not a whole number from 0", word.Text)
	}
	return slots
}

// defaultPolicy is the preset name that selects no preset.
const defaultPolicy = "default"

func (b *builder) policy(node *policyNode) declaration.Policy {
	var policy declaration.Policy
	preset := b.unquote(node.Preset)
	switch declaration.Preset(preset) {
	case declaration.PresetHuon, declaration.PresetDala:
		policy.Preset = declaration.Preset(preset)
	case defaultPolicy:
	default:
		valid := []string{string(declaration.PresetHuon), string(declaration.PresetDala), defaultPolicy}
		b.addUnknownWord(node.Preset.Pos, "policy", preset, valid)
	}
	policy.FalseAlarmRate = b.rate(node.FalseAlarmRate)
	policy.FailureRate = b.rate(node.FailureRate)
	return policy
}

// rate returns 0 for an absent rate. The negated comparison also rejects NaN.
func (b *builder) rate(word *wordNode) float64 {
	if word == nil {
		return 0
	}
	rate, err := strconv.ParseFloat(b.unquote(*word), 64)
	if err != nil || !(rate > 0 && rate < 1) {
		b.addError(word.Pos, "the rate %s is not a number above 0 and below 1", word.Text)
	}
	return rate
}

func (b *builder) regions(list []wordNode) []model.Region {
	var regions []model.Region
	seen := make(map[string]bool, len(list))
	for _, word := range list {
		name := b.nonEmpty(word, "region")
		if seen[name] {
			b.addError(word.Pos, "the region %s is preferred twice", name)
		}
		seen[name] = true
		regions = append(regions, model.Region(name))
	}
	return regions
}
