package distribution

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// encodeUpdate returns the wire form of an update. A light update has no peer address. Queue lengths are not sent.
func encodeUpdate(update membership.Update) *peerv1.NodeState {
	r := update.Record
	state := &peerv1.NodeState{
		Id:             string(r.ID),
		Incarnation:    uint64(r.Incarnation),
		Version:        r.Version,
		ConfigRevision: r.ConfigRevision,
		Heartbeat:      r.Heartbeat,
	}
	if update.Light {
		return state
	}
	state.Region = string(r.Region)
	state.Domain = string(r.Domain)
	state.PeerAddress = r.PeerAddress
	state.CallerAddress = r.CallerAddress
	state.OperatorAddress = r.OperatorAddress
	state.Stopping = r.Stopping
	state.Targets = make([]*peerv1.TargetState, len(r.Targets))
	for i := range r.Targets {
		state.Targets[i] = encodeTarget(&r.Targets[i])
	}
	state.Departures = encodeDepartures(r.Departures)
	return state
}

func encodeTarget(t *model.Target) *peerv1.TargetState {
	return &peerv1.TargetState{
		Id:          string(t.ID),
		Service:     string(t.Service),
		Address:     t.Address,
		Slots:       int32(t.Slots),
		RampSlots:   int32(t.RampSlots),
		Phase:       int32(t.Phase),
		InFlight:    int32(t.InFlight),
		Suspect:     t.Suspected,
		Missing:     t.Missing,
		Trial:       t.InTrial,
		Successes:   t.Successes,
		Failures:    t.Failures,
		Report:      t.Report,
		Cold:        t.Cold,
		Doubtful:    t.BreakerHalfOpen,
		FirstByteUs: t.FirstByte.Microseconds(),
	}
}

// decodeUpdate is the inverse of encodeUpdate.
func decodeUpdate(state *peerv1.NodeState) membership.Update {
	r := &model.NodeRecord{
		Node: model.Node{
			ID:              model.NodeID(state.GetId()),
			Incarnation:     model.Incarnation(state.GetIncarnation()),
			Region:          model.Region(state.GetRegion()),
			Domain:          model.FailureDomain(state.GetDomain()),
			PeerAddress:     state.GetPeerAddress(),
			CallerAddress:   state.GetCallerAddress(),
			OperatorAddress: state.GetOperatorAddress(),
		},
		Version:        state.GetVersion(),
		Heartbeat:      state.GetHeartbeat(),
		Stopping:       state.GetStopping(),
		ConfigRevision: state.GetConfigRevision(),
	}
	r.Targets = make([]model.Target, len(state.GetTargets()))
	for i, target := range state.GetTargets() {
		r.Targets[i] = decodeTarget(target)
	}
	r.Departures = decodeDepartures(state.GetDepartures())
	return membership.Update{Record: r, Light: r.PeerAddress == ""}
}

func decodeTarget(t *peerv1.TargetState) model.Target {
	return model.Target{
		ID:              model.TargetID(t.GetId()),
		Service:         model.ServiceName(t.GetService()),
		Address:         t.GetAddress(),
		Slots:           int(t.GetSlots()),
		RampSlots:       int(t.GetRampSlots()),
		InFlight:        int(t.GetInFlight()),
		Phase:           model.Phase(t.GetPhase()),
		Suspected:       t.GetSuspect(),
		Missing:         t.GetMissing(),
		InTrial:         t.GetTrial(),
		Successes:       t.GetSuccesses(),
		Failures:        t.GetFailures(),
		Report:          t.GetReport(),
		Cold:            t.GetCold(),
		BreakerHalfOpen: t.GetDoubtful(),
		FirstByte:       time.Duration(t.GetFirstByteUs()) * time.Microsecond,
	}
}

func encodeDepartures(departures []model.Departure) []*peerv1.Departure {
	var messages []*peerv1.Departure
	for _, d := range departures {
		messages = append(messages, &peerv1.Departure{
			Target: string(d.Target), StartTimeMs: d.StartTimeMS, Estimated: d.Estimated, Sequence: d.Sequence,
		})
	}
	return messages
}

func decodeDepartures(messages []*peerv1.Departure) []model.Departure {
	var departures []model.Departure
	for _, message := range messages {
		departures = append(departures, model.Departure{
			Target: model.TargetID(message.GetTarget()), StartTimeMS: message.GetStartTimeMs(),
			Estimated: message.GetEstimated(), Sequence: message.GetSequence(),
		})
	}
	return departures
}

func encodeDocument(d config.Document) *peerv1.Document {
	return &peerv1.Document{Key: d.Key, Value: d.Value, Revision: d.Revision, Deleted: d.Deleted}
}

func decodeDocument(d *peerv1.Document) config.Document {
	return config.Document{Key: d.GetKey(), Value: d.GetValue(), Revision: d.GetRevision(), Deleted: d.GetDeleted()}
}
