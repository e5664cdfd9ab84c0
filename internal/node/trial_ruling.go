package node

// trialRuling says whether an attempt may run at a target that is on trial.
type trialRuling uint8

const (
	notOnTrial trialRuling = iota
	trialGranted
	trialRefused
)
