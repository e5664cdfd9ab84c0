package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one client attempt with its result.
type sent struct {
	id, machine, method, path string
	// kept means that the connection had carried an answer before.
	kept           bool
	body           int
	sentAt, doneAt time.Time
	status         int
	stamp          string
	err            error
}

// clients sends requests to machines, each client on a connection that it keeps.
type clients struct {
	rec    *record
	serial atomic.Int64
	prefix string

	mu   sync.Mutex
	sent []*sent
}

// client is one client on a machine.
type client struct {
	all     *clients
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

const deadlineMS = 4000

// request sends one request and waits for its answer.
func (c *client) request(method, host, path string, body []byte) *sent {
	s := &sent{
		id: fmt.Sprintf("%s%06x", c.all.prefix, c.all.serial.Add(1)), machine: c.machine.name, method: method, path: path,
		kept: c.conn != nil, body: len(body), sentAt: time.Now(),
	}
	s.err = c.exchange(s, host, body)
	s.doneAt = time.Now()
	c.all.mu.Lock()
	c.all.sent = append(c.all.sent, s)
	c.all.mu.Unlock()
	c.all.rec.add("client at %s: %s %s %s, %d bytes, connection kept %t: status %d, error %v after %.3f s",
		s.machine, s.method, s.id, s.path, s.body, s.kept, s.status, s.err, s.doneAt.Sub(s.sentAt).Seconds())
	return s
}

func (c *client) exchange(s *sent, host string, body []byte) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.callers, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", s.method, s.path, host,
		names.RequestID, s.id, names.Deadline, deadlineMS)
	if s.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	_ = c.conn.SetDeadline(time.Now().Add(deadlineMS * time.Millisecond))
	if _, err := c.conn.Write(append(head.Bytes(), body...)); err != nil {
		c.close()
		return fmt.Errorf("write: %w", err)
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: s.method})
	if err != nil {
		c.close()
		return fmt.Errorf("read: %w", err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		c.close()
		return fmt.Errorf("body: %w", err)
	}
	s.status, s.stamp = res.StatusCode, res.Header.Get(names.Stamp)
	if res.Close {
		c.close()
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// traffic is a steady load of one client.
type traffic struct {
	method, host, path string
	body               []byte
	pause              time.Duration
}

// keepSending sends requests until ctx ends. A client on a machine that is not ready waits until it is ready again.
func (a *clients) keepSending(ctx context.Context, m *machine, t traffic) {
	c := &client{all: a, machine: m}
	defer c.close()
	for ctx.Err() == nil {
		s := c.request(t.method, t.host, t.path, t.body)
		pause := t.pause
		if s.status == http.StatusServiceUnavailable || s.status == 0 {
			pause = time.Second
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// results returns what was sent so far.
func (a *clients) results() []*sent {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*sent(nil), a.sent...)
}
