// Command sardinereachd is the daemon that runs on the same VM as each upstream.
//
// Usage:
//
//	sardinereachd -config FILE
//	sardinereachd -config FILE -check
//
// It exits with 0 after a graceful shutdown, with 1 after a failure, and with 2 if the settings are invalid.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"k8s.io/klog/v2"

	"github.com/sardinereach/sardinereach/internal/daemon"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/platform"
)

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	// SIGHUP ends a process that has no handler for it, and it may arrive at any moment after the start.
	reloads := daemon.NotifyReload()
	klog.InitFlags(nil)
	config := flag.String("config", defaultConfig(), "settings `file`")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	out := logToStdout()
	code := run(*config, *check, reloads)
	klog.Flush()
	out.Close()
	os.Exit(code)
}

// logToStdout writes the log to standard output asynchronously, so that slow output never delays a request.
func logToStdout() *events.AsyncWriter {
	out := events.NewAsyncWriter(os.Stdout)
	klog.LogToStderr(false)
	// klog writes each line to the output of its severity and to those of all lower severities, so that the output of
	// INFO receives all lines.
	klog.SetOutput(io.Discard)
	klog.SetOutputBySeverity("INFO", out)
	return out
}

// defaultConfig returns the default of the -config flag.
func defaultConfig() string {
	if path := platform.SettingsPath(); path != "" {
		return path
	}
	return "/etc/sardinereach/sardinereachd.ini"
}

func run(config string, check bool, reloads <-chan os.Signal) int {
	s, err := settings.Load(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	if check {
		fmt.Println("settings are valid")
		return 0
	}
	if err := daemon.Run(config, s, reloads, nil); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}
