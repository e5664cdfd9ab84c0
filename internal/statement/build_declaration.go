package statement

import (
	"strconv"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

func (b *builder) file(node *fileNode) []Declaration {
	declarations := make([]Declaration, 0, len(node.Declares))
	lines := make(map[model.ServiceName]int)
	for _, declare := range node.Declares {
		one := b.declaration(declare)
		if first, ok := lines[one.Service.Name]; ok {
			b.fail(declare.Name.Pos, "the service %s is declared before in line %d", one.Service.Name, first)
		}
		lines[one.Service.Name] = one.Line
		declarations = append(declarations, one)
	}
	return declarations
}

func (b *builder) declaration(node *declareNode) Declaration {
	faults := len(b.errors)
	one := Declaration{Revision: AnyRevision, Line: node.Pos.Line}
	one.Service.Name = model.ServiceName(b.text(node.Name))
	one.Service.Routes = []declaration.Route{}
	if node.Revision != nil {
		one.Revision = b.revision(*node.Revision)
	}
	b.items(&one.Service, node.Items)
	if len(b.errors) > faults {
		return one
	}
	if err := one.Service.Validate(); err != nil {
		b.fail(node.Name.Pos, "%v", err)
	}
	return one
}

func (b *builder) revision(word wordNode) int64 {
	revision, err := strconv.ParseInt(b.text(word), 10, 64)
	if err != nil || revision < 0 {
		b.fail(word.Pos, "the revision %s is not a whole number from 0", word.Text)
	}
	return revision
}

func (b *builder) items(service *declaration.Service, items []*itemNode) {
	seen := make(onceOnly)
	routes := make(map[string]int)
	for _, item := range items {
		switch {
		case item.Floor != nil:
			b.once(seen, "floor", item.Pos)
			service.FloorSlots = b.floor(*item.Floor)
		case item.Policy != nil:
			b.once(seen, "policy", item.Pos)
			service.Policy = b.policy(item.Policy)
		case item.Route != nil:
			service.Routes = append(service.Routes, b.route(item.Route, routes))
		default:
			b.once(seen, "prefer", item.Pos)
			service.Prefer = b.regions(item.Prefer)
		}
	}
}

// onceOnly holds the line of each setting that a block has given.
type onceOnly map[string]int

func (b *builder) once(seen onceOnly, setting string, at lexer.Position) {
	if first, ok := seen[setting]; ok {
		b.fail(at, "%s is given before in line %d", setting, first)
		return
	}
	seen[setting] = at.Line
}

func (b *builder) floor(word wordNode) int {
	slots, err := strconv.Atoi(b.text(word))
	if err != nil || slots < 0 {
		b.fail(word.Pos, "the floor %s is not a whole number from 0", word.Text)
	}
	return slots
}

// defaultPolicy names the policy of a service that sets none.
const defaultPolicy = "default"

func (b *builder) policy(node *policyNode) declaration.Policy {
	var policy declaration.Policy
	preset := b.text(node.Preset)
	switch declaration.Preset(preset) {
	case declaration.PresetHuon, declaration.PresetDala:
		policy.Preset = declaration.Preset(preset)
	case defaultPolicy:
	default:
		valid := []string{string(declaration.PresetHuon), string(declaration.PresetDala), defaultPolicy}
		b.failWord(node.Preset.Pos, "policy", preset, valid)
	}
	policy.FalseAlarmRate = b.rate(node.FalseAlarmRate)
	policy.FailureRate = b.rate(node.FailureRate)
	return policy
}

// rate returns 0 for an absent rate. The comparison also refuses NaN.
func (b *builder) rate(word *wordNode) float64 {
	if word == nil {
		return 0
	}
	rate, err := strconv.ParseFloat(b.text(*word), 64)
	if err != nil || !(rate > 0 && rate < 1) {
		b.fail(word.Pos, "the rate %s is not a number above 0 and below 1", word.Text)
	}
	return rate
}

func (b *builder) regions(list []wordNode) []model.Region {
	var regions []model.Region
	seen := make(map[string]bool, len(list))
	for _, word := range list {
		name := b.name(word, "region")
		if seen[name] {
			b.fail(word.Pos, "the region %s is preferred twice", name)
		}
		seen[name] = true
		regions = append(regions, model.Region(name))
	}
	return regions
}
