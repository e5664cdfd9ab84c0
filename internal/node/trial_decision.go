package node

// trialDecision is the decision on an attempt at a target that may be in trial.
type trialDecision uint8

const (
	// notInTrial means that the attempt runs as an ordinary request.
	notInTrial trialDecision = iota
	// trialGranted means that the attempt runs as a trial request.
	trialGranted
	// trialRefused means that the attempt must not run.
	trialRefused
)
