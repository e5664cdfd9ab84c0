package events

import "k8s.io/klog/v2"

// Sink writes one formatted line. Klog is the sink of a daemon.
type Sink interface {
	Write(severity Severity, line string)
}

// Klog is the Sink that writes to klog.
type Klog struct{}

// callerDepth leaves the frames of this package out of klog's file and line.
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
