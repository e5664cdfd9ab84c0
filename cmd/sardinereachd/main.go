// Command sardinereachd is the daemon that runs beside each upstream.
//
// Usage:
//
//	sardinereachd -config FILE
//	sardinereachd -config FILE -check
//
// It exits with 0 after a graceful shutdown, with 1 after a failure, and with 2 if the settings are not valid.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/node"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/platform"
)

// gcPercent trades memory for time: the live heap of a daemon is small, and at the default a busy one spent a tenth of
// its time in garbage collection.
const gcPercent = 200

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	klog.InitFlags(nil)
	config := flag.String("config", defaultConfig(), "settings `file`")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	out := logToStdout()
	code := run(*config, *check)
	klog.Flush()
	out.Close()
	os.Exit(code)
}

// logToStdout sends the log to standard output, which never holds a request up.
func logToStdout() *events.AsyncWriter {
	out := events.NewAsyncWriter(os.Stdout)
	klog.LogToStderr(false)
	// klog writes each line to the output of its severity and of all lower ones.
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", out)
	return out
}

// defaultConfig returns the settings file that is read unless the command line names one.
func defaultConfig() string {
	if path := platform.SettingsPath(); path != "" {
		return path
	}
	return "/etc/sardinereach/sardinereachd.ini"
}

func run(config string, check bool) int {
	s, err := settings.Load(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	if check {
		fmt.Println("settings are valid")
		return 0
	}
	debug.SetGCPercent(gcPercent)
	log := events.New(events.Klog{}, time.Now)
	m := metrics.New()
	if err := metrics.Publish("sardinereach", m); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	n, err := node.New(s, m, log, ports(s, m, log))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	go shutDownOnSignal(n)
	go readAgainOnSignal(config, s, log)
	if err := n.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
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
