package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// asDaemon makes the test binary run main.
const asDaemon = "SARDINEREACHD_TEST_MAIN"

const settingsText = `[node]
id = n1
region = r
failure_domain = d
[listen]
callers = 127.0.0.1:17080
peers = 127.0.0.1:17081
operators = 127.0.0.1:17082
upstreams = 127.0.0.1:17083
[store]
address = 127.0.0.1:17070
`

func TestMain(m *testing.M) {
	if os.Getenv(asDaemon) != "" {
		main()
	}
	os.Exit(m.Run())
}

// Guards against SIGHUP that ends a daemon while it reads its settings.
func TestReloadSignalWhileSettingsAreReadDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := exec.Command(os.Args[0], "-config", path, "-check")
	daemon.Env = append(os.Environ(), asDaemon+"=1")
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	stop := time.AfterFunc(time.Minute, func() { _ = daemon.Process.Kill() })
	defer stop.Stop()
	// The daemon has opened the file when this returns.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := daemon.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.WriteString(settingsText); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	if err := daemon.Wait(); err != nil {
		t.Errorf("the daemon ended: %v", err)
	}
}
