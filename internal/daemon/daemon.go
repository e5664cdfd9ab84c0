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
	"github.com/sardinereach/sardinereach/internal/node"
	"github.com/sardinereach/sardinereach/internal/settings"
)

// gcPercent trades memory for time: the live heap of a daemon is small, and at the default a busy one spent a tenth of
// its time in garbage collection.
const gcPercent = 200

// Run runs a node with the settings of the file until SIGTERM or SIGINT. prepare may change the settings after the node has
// taken its identity from them; nil changes nothing.
func Run(config string, s *settings.Settings, prepare func(*settings.Settings)) error {
	debug.SetGCPercent(gcPercent)
	log := events.New(events.Klog{}, time.Now)
	m := metrics.New()
	if err := metrics.Publish("sardinereach", m); err != nil {
		return err
	}
	n, err := node.New(s, m, log, ports(s, m, log))
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	if prepare != nil {
		prepare(s)
	}
	go shutDownOnSignal(n)
	go readAgainOnSignal(config, s, log)
	return n.Run()
}

// shutDownOnSignal begins the graceful shutdown on SIGTERM or SIGINT.
func shutDownOnSignal(n *node.Node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	n.Shutdown()
}

// readAgainOnSignal checks the settings file on SIGHUP and logs whether it has changed. Listeners and identity hold for
// the life of a process, so that changes take effect at the next start.
func readAgainOnSignal(config string, present *settings.Settings, log *events.Log) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		read, err := settings.Load(config)
		outcome := "unchanged"
		switch {
		case err != nil:
			outcome = "not valid, the present ones stay"
		case !reflect.DeepEqual(read, present):
			outcome = "changed"
		}
		log.Emit(events.SettingsRead, events.NodeField(present.Node.ID), events.TextOutcomeField(outcome), events.CauseField(err))
	}
}
