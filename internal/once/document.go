package once

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// MaxRecordedBytes is the size of the largest response that is stored with its claim.
const MaxRecordedBytes = 64 << 10

// phase is the stage of a claim in the store.
type phase string

const (
	// phaseRunning means that the creator of the claim may dispatch.
	phaseRunning phase = "running"
	// phaseAnswered means that the request ran. The response is stored unless it is too large.
	phaseAnswered phase = "answered"
	// phaseUncertain means that the request may have run and never runs again.
	phaseUncertain phase = "uncertain"
)

// document is the stored form of a claim.
type document struct {
	Claim       ClaimID           `json:"claim"`
	Key         string            `json:"key"`
	Account     model.AccountName `json:"account,omitempty"`
	Fingerprint uint64            `json:"fingerprint"`
	Node        model.NodeID      `json:"node"`
	Incarnation model.Incarnation `json:"incarnation"`
	Phase       phase             `json:"phase"`
	// CreatedMS and EndedMS are wall-clock times in milliseconds. Only garbage collection uses them.
	CreatedMS int64             `json:"created_ms"`
	EndedMS   int64             `json:"ended_ms,omitempty"`
	Reason    verdict.Reason    `json:"reason,omitempty"`
	Answer    *admission.Answer `json:"answer,omitempty"`
}

func (d *document) encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrapf(err, "claim %s", d.Claim)
}

func decode(data []byte) (*document, error) {
	d := new(document)
	if err := json.Unmarshal(data, d); err != nil {
		return nil, errors.Wrap(err, "claim document")
	}
	return d, nil
}

// answered returns a copy of the document that ends with the response.
func (d document) answered(nowMS int64, answer *admission.Answer) document {
	d.Phase = phaseAnswered
	d.EndedMS = nowMS
	d.Reason = ""
	d.Answer = nil
	if answer != nil && answer.Size() <= MaxRecordedBytes {
		d.Answer = answer
	}
	return d
}

// uncertain returns a copy of the document that ends with an unknown outcome.
func (d document) uncertain(nowMS int64, reason verdict.Reason) document {
	d.Phase = phaseUncertain
	d.EndedMS = nowMS
	d.Reason = reason
	return d
}
