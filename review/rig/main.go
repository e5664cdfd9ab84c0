package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is the fleet of a case with its stand-ins.
type world struct {
	repository, folder string
	// net is the second number of the machines' addresses, so that two rigs do not meet.
	net      int
	rec      *record
	store    *kvStore
	machines []*machine
	targets  []*target
	clients  *clients
	trouble  bool
}

// scenario plays a case. It returns whether the rule was broken, and an error if the case could not run.
type scenario func(w *world) (broken bool, err error)

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "`name` of the case")
	recordPath := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	os.Exit(play(*name, *recordPath, *trouble))
}

func play(name, recordPath string, trouble bool) int {
	scenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec, trouble)
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer w.end()
	w.endOnSignal()
	broken, err := scenario(w)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

func newWorld(rec *record, trouble bool) (*world, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	// The rig is target/review/rig.
	repository := filepath.Dir(filepath.Dir(filepath.Dir(executable)))
	folder, err := os.MkdirTemp("", "sardinereach-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		repository: repository, folder: folder, net: 100 + os.Getpid()%100, rec: rec, trouble: trouble,
		clients: &clients{rec: rec, prefix: fmt.Sprintf("%x-", os.Getpid()&0xffff)},
	}
	w.store, err = startStore(fmt.Sprintf("127.%d.0.1", w.net))
	return w, err
}

// endOnSignal ends all processes of the case when the rig itself is to end.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.end()
		os.Exit(exitNotRun)
	}()
}

// end ends all processes of the case.
func (w *world) end() {
	for _, m := range w.machines {
		m.mu.Lock()
		if m.cmd != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
		}
		m.mu.Unlock()
		if m.exited != nil {
			<-m.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs:", w.folder)
	}
}

// addMachine adds a machine with a target that works for the given time on each request, and starts both.
func (w *world) addMachine(zone, region, service string, work time.Duration) error {
	m, err := newMachine(w, len(w.machines)+1, zone, region, service)
	if err != nil {
		return err
	}
	w.machines = append(w.machines, m)
	if err := m.start(w); err != nil {
		return err
	}
	t, err := startTarget(m, fmt.Sprintf("i-%02d%x", len(w.machines), os.Getpid()&0xffff), work)
	if err != nil {
		return err
	}
	w.targets = append(w.targets, t)
	return nil
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(w.machines) {
			return nil
		}
	}
	return fmt.Errorf("the machines did not become ready")
}
