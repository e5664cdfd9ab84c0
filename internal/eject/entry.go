package eject

import "github.com/sardinereach/sardinereach/internal/model"

// Entry permits the ejection of one target.
type Entry struct {
	Target model.TargetID `json:"target"`
	// Holder is the node that asked for the entry; only its incarnation may renew it.
	Holder      model.NodeID      `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Serial is the sequence of the document that first held the entry. It tells entries of one target apart.
	Serial uint64 `json:"serial"`
	// Renewals counts the renewals of the entry.
	Renewals uint64 `json:"renewals,omitempty"`
	// Retiring means that nodes no longer honour the entry, but it keeps its share of the floor.
	Retiring bool `json:"retiring,omitempty"`
	// Withdrawn means that an operator or the holder withdrew the entry; it is retiring and cannot be renewed.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Reason says why the target is ejected, for operators.
	Reason string `json:"reason,omitempty"`
}

// generation is what a node has seen of an entry.
type generation struct {
	target   model.TargetID
	serial   uint64
	renewals uint64
	retiring bool
}

func (e Entry) generation() generation {
	return generation{target: e.Target, serial: e.Serial, renewals: e.Renewals, retiring: e.Retiring}
}
