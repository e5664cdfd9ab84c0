package events

import "k8s.io/klog/v2"

// Sink writes formatted lines. A daemon uses Klog.
type Sink interface {
	Write(severity Severity, line string)
}

// Klog is the Sink that writes to klog.
type Klog struct{}

// callerDepth skips the frames of this package for the file and line that klog writes.
const callerDepth = 2

// Write implements Sink.
func (Klog) Write(severity Severity, line string) {
	switch severity {
	case Info:
		klog.InfoDepth(callerDepth, line)
	case Warning:
		klog.WarningDepth(callerDepth, line)
	default:
		klog.ErrorDepth(callerDepth, line)
	}
}
