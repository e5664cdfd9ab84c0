package daemon

import (
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/node"
	"github.com/sardinereach/sardinereach/internal/settings"
)

// gcPercent trades memory for CPU time. At the default of the runtime a busy daemon spent a tenth of its time in garbage
// collection, and its live heap is small.
const gcPercent = 200

// Run runs a node until SIGTERM or SIGINT. s is the settings that were loaded from the file config. prepare may change
// them after node.New has read the identity of the node from them and before the node runs; it may be nil. reloads is the channel
// of NotifyReload.
func Run(config string, s *settings.Settings, reloads <-chan os.Signal, prepare func(*settings.Settings)) error {
	debug.SetGCPercent(gcPercent)
	stops := notifyStop()
	log := events.New(events.Klog{}, time.Now)
	m := metrics.New()
	if err := metrics.Publish("sardinereach", m); err != nil {
		return err
	}
	n, err := node.New(s, m, log, ports(s, m, log))
	if err != nil {
		return errors.Wrap(err, "create node")
	}
	if prepare != nil {
		prepare(s)
	}
	go shutDownOnSignal(n, s.Node.ID, stops, log)
	go checkSettingsOnSignal(config, s, reloads, log)
	return n.Run()
}

// stopSignalBuffer is the number of signals to stop that can arrive before the first one is logged.
const stopSignalBuffer = 4

// notifyStop returns a channel that receives SIGTERM and SIGINT from now on. It is called before the node takes connections: until
// then the signals end the process.
func notifyStop() <-chan os.Signal {
	signals := make(chan os.Signal, stopSignalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// shutDownOnSignal starts the graceful shutdown on the first SIGTERM or SIGINT. Later signals are only logged: the process
// is killed one grace period after the first.
func shutDownOnSignal(n *node.Node, id model.NodeID, signals <-chan os.Signal, log *events.Log) {
	first := time.Time{}
	for count := 1; ; count++ {
		received := <-signals
		if count == 1 {
			first = time.Now()
		}
		log.Emit(events.SignalReceived, events.NodeField(id), events.OperationField(received.String()), events.CountField(count), events.DurationField(time.Since(first)))
		n.Shutdown()
	}
}

// NotifyReload returns a channel that receives SIGHUP from now on. A program calls it before anything else: until then the signal
// ends the process.
func NotifyReload() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// checkSettingsOnSignal validates the settings file on SIGHUP and logs whether it has changed. It does not apply changes:
// listeners and identity are fixed for the lifetime of the process, so changes take effect at the next start.
func checkSettingsOnSignal(config string, current *settings.Settings, reloads <-chan os.Signal, log *events.Log) {
	for range reloads {
		loaded, err := settings.Load(config)
		outcome := "unchanged"
		switch {
		case err != nil:
			outcome = "invalid, the current settings stay active"
		case !reflect.DeepEqual(loaded, current):
			outcome = "changed"
		}
		log.Emit(events.SettingsRead, events.NodeField(current.Node.ID), events.TextOutcomeField(outcome), events.CauseField(err))
	}
}
