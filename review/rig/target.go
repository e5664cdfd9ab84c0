package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	slots             = 3
	queuePlaces       = 24
)

// run is one request that arrived at a target and was not rejected.
type run struct {
	id, target string
	arrivedAt  time.Time
	body       int64
}

// target is an application beside a machine.
type target struct {
	id, service, zone, address string
	born                       int64
	machine                    *machine
	rec                        *record
	server                     *http.Server
	stop                       chan struct{}
	work                       time.Duration
	slots                      chan struct{}

	mu       sync.Mutex
	sequence int
	waiting  int
	runs     []run
	silent   bool
	// poison is the host and path of the request that crashes the target.
	poison string
}

// crashTime is the time after which a target is back that a request has crashed.
const crashTime = 3 * time.Second

func (t *target) setPoison(host, path string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.poison = host + path
}

func (t *target) isPoison(r *http.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.poison != "" && t.poison == r.Host+r.URL.Path
}

// startTarget starts a target that works for the given time on each request. It sends heartbeats to its machine.
func startTarget(m *machine, id string, work time.Duration) (*target, error) {
	listener, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, service: m.service, zone: m.zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), machine: m,
		rec: m.rec, stop: make(chan struct{}), work: work, slots: make(chan struct{}, slots),
	}
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(listener) }()
	go t.sendHeartbeats()
	return t, nil
}

func (t *target) sendHeartbeats() {
	for {
		if !t.isSilent() {
			_, _ = t.call(names.Heartbeat, t.heartbeat("ready"))
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-t.stop:
			return
		}
	}
}

func (t *target) isSilent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent
}

// setSilent ends the heartbeats.
func (t *target) setSilent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = true
}

// heartbeat returns the body of the next heartbeat.
func (t *target) heartbeat(state string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,%q:0,"sequence":%d,"born":%d}`,
		t.service, t.address, t.zone, slots, state, names.ColdRemaining, t.sequence, t.born)
}

// call sends a call to the machine and returns the status of the answer.
func (t *target) call(name, body string) (int, error) {
	client := http.Client{Timeout: time.Second}
	res, err := client.Post("http://"+t.machine.control+"/rpc?call="+name+"&of="+t.id, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode, nil
}

// leave says that the target is gone and returns whether the call was acknowledged.
func (t *target) leave() bool {
	status, err := t.call(names.Leave, fmt.Sprintf(`{"born":%d}`, t.born))
	t.rec.say("target %s: leave call: status %d, error %v", t.id, status, err)
	return status == http.StatusOK
}

// exit ends the target with all connections.
func (t *target) exit() {
	t.rec.say("target %s exits", t.id)
	close(t.stop)
	_ = t.server.Close()
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if expected := r.Header.Get(names.Instance); expected != "" && expected != t.id {
		w.Header().Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !t.enter() {
		t.rec.add("target %s rejects %s: full", t.id, id)
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		t.leaveQueue()
		return
	}
	t.leaveQueue()
	defer func() { <-t.slots }()
	arrived := time.Now()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	t.runs = append(t.runs, run{id: id, target: t.id, arrivedAt: arrived, body: n})
	t.mu.Unlock()
	t.rec.add("target %s runs %s %s, body of %d bytes", t.id, r.Method, id, n)
	if t.isPoison(r) {
		go t.crash(crashTime)
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		t.rec.add("target %s: the connection of %s is gone", t.id, id)
		return
	}
	w.Header().Set(names.Stamp, "stamp."+t.id+"."+id)
	w.Header().Set(names.Load, strconv.Itoa(len(t.slots))+",0,"+strconv.Itoa(slots))
	_, _ = fmt.Fprintf(w, "%s %s at %s", r.Method, r.URL.RequestURI(), t.id)
}

func (t *target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting >= queuePlaces {
		return false
	}
	t.waiting++
	return true
}

func (t *target) leaveQueue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

// allRuns returns the runs so far.
func (t *target) allRuns() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs...)
}

// crash ends the target without notice and starts it again, as a new incarnation with the same ID and address.
func (t *target) crash(down time.Duration) {
	t.rec.say("target %s crashes", t.id)
	t.setSilent()
	_ = t.server.Close()
	time.Sleep(down)
	listener, err := net.Listen("tcp", t.address)
	if err != nil {
		t.rec.say("target %s does not start again: %v", t.id, err)
		return
	}
	t.mu.Lock()
	t.silent, t.sequence, t.born = false, 0, time.Now().UnixMilli()
	t.server = &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	server := t.server
	t.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	t.rec.say("target %s is back", t.id)
}
