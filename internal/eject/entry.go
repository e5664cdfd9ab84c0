package eject

import "github.com/sardinereach/sardinereach/internal/model"

// Entry is the permit to eject one target.
type Entry struct {
	Target model.TargetID `json:"target"`
	// Holder is the node that requested the entry; only the same incarnation may renew it.
	Holder      model.NodeID      `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Serial is the sequence of the document in which the entry was added. It distinguishes successive entries of one
	// target.
	Serial uint64 `json:"serial"`
	// Renewals counts the renewals of the entry.
	Renewals uint64 `json:"renewals,omitempty"`
	// Retiring means that nodes no longer enforce the entry, but it still occupies its share of the capacity floor.
	Retiring bool `json:"retiring,omitempty"`
	// Withdrawn means that an operator or the holder withdrew the entry; it is retiring and cannot be renewed.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Reason tells operators why the target is ejected.
	Reason string `json:"reason,omitempty"`
}

// generation identifies one version of an entry: each renewal, and the mark as retiring, makes a new one.
type generation struct {
	target   model.TargetID
	serial   uint64
	renewals uint64
	retiring bool
}

func (e Entry) generation() generation {
	return generation{target: e.Target, serial: e.Serial, renewals: e.Renewals, retiring: e.Retiring}
}
