package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site, in the settings of each machine.
const (
	graceS       = 6
	drainLimit   = 2500 * time.Millisecond
	stableWindow = 3 * time.Second
	lossSlack    = 200 * time.Millisecond
	memoryMB     = 284
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 500 * time.Millisecond
)

// machine is a VM with a sardinereachd process.
type machine struct {
	name, ip, zone, region, service  string
	callers, peers, control, health  string
	operators, metrics, settingsPath string
	log                              *os.File
	rec                              *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// startedAt is the time of the last start of the process.
	startedAt time.Time
}

// Ports of the listeners, below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
)

// addressPicker picks addresses whose ports are free, and keeps them until release, so that none is picked twice.
type addressPicker struct {
	held []net.Listener
}

func (p *addressPicker) pick(ip string) (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(portCount))))
		if err == nil {
			p.held = append(p.held, l)
			return l.Addr().String(), nil
		}
	}
	return "", fmt.Errorf("no free port at %s", ip)
}

func (p *addressPicker) release() {
	for _, l := range p.held {
		_ = l.Close()
	}
}

// newMachine prepares the settings of a machine, rendered from the template of the deploy file.
func newMachine(w *world, index int, zone, region, service string) (*machine, error) {
	m := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, index), ip: fmt.Sprintf("127.%d.%d.%d", w.net, 1, index),
		zone: zone, region: region, service: service, rec: w.rec,
	}
	var picker addressPicker
	defer picker.release()
	var err error
	for _, a := range []*string{&m.callers, &m.peers, &m.control, &m.health, &m.metrics} {
		if *a, err = picker.pick(m.ip); err != nil {
			return nil, err
		}
	}
	if m.operators, err = picker.pick("127.0.0.1"); err != nil {
		return nil, err
	}
	text, err := m.render(w)
	if err != nil {
		return nil, err
	}
	m.settingsPath = filepath.Join(w.folder, m.name+".ini")
	if err := os.WriteFile(m.settingsPath, []byte(text), 0o600); err != nil {
		return nil, err
	}
	m.log, err = os.Create(filepath.Join(w.folder, m.name+".log"))
	return m, err
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)

// render fills in the template as the platform does. On the platform the ports of all machines are the same and innerPorts are
// two of them; here every listener has a free port of its own.
func (m *machine) render(w *world) (string, error) {
	template, err := os.ReadFile(filepath.Join(w.repository, "platform", "sardinereachd.ini.tmpl"))
	if err != nil {
		return "", err
	}
	text := string(template)
	for from, to := range map[string]string{
		"{{ip}}:{{innerPorts.1}}": m.peers, "127.0.0.1:{{innerPorts.0}}": m.operators, "{{ip}}:{{innerPorts.0}}": m.metrics,
	} {
		text = strings.ReplaceAll(text, from, to)
	}
	values := map[string]string{
		"node": m.name, "region": m.region, "zone": m.zone, "listen.outbound": m.callers, "listen.control": m.control,
		"listen.ready": m.health, "platform.address": w.store.address, "seeds": "", "service": m.service,
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetExtra": "64", "bounds.floorShare": "0.7", "bounds.graceS": fmt.Sprint(graceS),
	}
	missing := ""
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		value, ok := values[placeholder.FindStringSubmatch(p)[1]]
		if !ok {
			missing = p
		}
		return value
	})
	if missing != "" {
		return "", fmt.Errorf("the template has an unknown placeholder %s", missing)
	}
	return text, nil
}

// start starts the process.
func (m *machine) start(w *world) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	cmd := exec.Command(filepath.Join(w.repository, "target", "sardinereachd"))
	cmd.Dir = w.repository
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.SettingsVariable + "=" + m.settingsPath}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited, m.startedAt = cmd, make(chan struct{}), time.Now()
	exited := m.exited
	m.rec.add("platform: %s starts", m.name)
	go func() {
		err := cmd.Wait()
		m.rec.add("platform: %s has ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rec.say("platform: %s gets %s", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// ended returns the channel that is closed when the process ends.
func (m *machine) ended() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// lastStart returns the time of the last start of the process.
func (m *machine) lastStart() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedAt
}

// stopAndStart stops the process as planned work does and starts it again.
func (m *machine) stopAndStart(w *world) error {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended():
	case <-time.After(graceS * time.Second):
		m.signal(syscall.SIGKILL)
		<-m.ended()
	}
	time.Sleep(restartDelay)
	return m.start(w)
}

// isReady asks the health address as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + m.health + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// pid returns the process ID.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// route is a route of the operator's configuration.
type route struct {
	Host, Prefix, Kind   string
	TimeoutS, ObjectiveS float64
	Priority             int
	Service              string
	MaxAttempts          int
}

// wire returns the route as it stands in the configuration.
func (r route) wire() map[string]any {
	return map[string]any{
		"host": r.Host, "prefix": r.Prefix, "kind": r.Kind, "timeoutS": r.TimeoutS, names.Objective: r.ObjectiveS,
		"priority": r.Priority, "service": r.Service, "maxAttempts": r.MaxAttempts,
	}
}

// configuration returns the value of the operator's configuration.
func configuration(version int, services []string, routes map[string]route) []byte {
	declared := map[string]any{}
	for _, name := range services {
		declared[name] = map[string]any{"healthPath": "/healthz", "maxConns": 390, "protocol": "h1", "tls": false}
	}
	encoded := map[string]any{}
	for name, r := range routes {
		encoded[name] = r.wire()
	}
	value, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": encoded, "services": declared,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	return value
}
