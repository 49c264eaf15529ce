// Package fakeplatform stands in for the parties of the users' platform: workers behind arrays of bulk strings, the
// command channel, and clients. They are built on the standard library alone, so that they share no parser with what
// they test, and record what they see at their own ends of the sockets.
package fakeplatform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// Request is one message as a worker got it.
type Request struct {
	Verb   string
	ID     string
	Fields map[string]string
	Body   string
	Conn   *Conn
}

// Worker is a stand-in worker. Its fields are set before it is started.
type Worker struct {
	ID   string
	Log  *invariants.Log // nil: nothing is recorded
	Work time.Duration
	Drop string // a class whose repeats, by their key, are not run again
	// Act is what the worker does with a message; nil answers as a healthy one. It runs on the connection's
	// goroutine, or on its own for a healthy one.
	Act func(r Request)

	ln    net.Listener
	mu    sync.Mutex
	conns map[*Conn]struct{}
	got   []Request
	held  map[string]int
	keys  map[string]bool // that ran, of the class whose repeats are dropped
	came  chan struct{}
	wg    sync.WaitGroup
}

// Conn is one connection to a worker.
type Conn struct {
	net.Conn
	mu sync.Mutex
}

// Say writes one answer.
func (c *Conn) Say(items ...string) {
	c.Raw(Message(items...))
}

// Raw writes bytes as they are.
func (c *Conn) Raw(s string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.Conn, s)
}

// Message is an array of bulk strings.
func Message(items ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(items))
	for _, it := range items {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(it), it)
	}
	return b.String()
}

// Start listens; address may name a port that another worker has left.
func (w *Worker) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.ln, w.conns, w.held, w.keys, w.came = ln, map[*Conn]struct{}{}, map[string]int{}, map[string]bool{}, make(chan struct{}, 1<<16)
	w.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			c := &Conn{Conn: nc}
			w.mu.Lock()
			w.conns[c] = struct{}{}
			w.mu.Unlock()
			w.wg.Go(func() { w.serve(c) })
		}
	})
	return nil
}

// Addr is where the worker listens.
func (w *Worker) Addr() string { return w.ln.Addr().String() }

// Stop ends the worker: its connections are reset.
func (w *Worker) Stop() {
	_ = w.ln.Close()
	w.mu.Lock()
	for c := range w.conns {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	w.mu.Unlock()
	w.wg.Wait()
}

// Got is what the worker has got so far.
func (w *Worker) Got() []Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Request(nil), w.got...)
}

// Conns is how many connections are open.
func (w *Worker) Conns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

// Came has a value for each message that has come.
func (w *Worker) Came() <-chan struct{} { return w.came }

func (w *Worker) serve(c *Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		items, err := ReadMessage(in)
		if err != nil {
			return
		}
		r, err := requestOf(items)
		if err != nil {
			return // as the platform's own do
		}
		r.Conn = c
		w.mu.Lock()
		w.got = append(w.got, r)
		w.mu.Unlock()
		select {
		case w.came <- struct{}{}:
		default:
		}
		if w.Log != nil && r.Verb == "exec" {
			w.Log.Add(invariants.Record{Kind: invariants.AttemptReceived, Router: "r", Call: r.ID, Request: r.Body, Class: r.Fields["cls"], Worker: w.ID})
		}
		if w.Log != nil && r.Verb == "ensure" {
			n, _ := strconv.Atoi(r.Fields["slots_up"])
			w.Log.Add(invariants.Record{Kind: invariants.LoadCommandReceived, Worker: w.ID, Copies: n, Router: "r"})
		}
		if w.Act != nil {
			w.Act(r)
		} else {
			w.wg.Go(func() { w.Healthy(r) })
		}
	}
}

// Healthy does what a healthy worker does.
func (w *Worker) Healthy(r Request) {
	switch r.Verb {
	case "exec":
		w.mu.Lock()
		company := w.held[r.Fields["item"]]
		w.held[r.Fields["item"]]++
		all := 0
		for _, n := range w.held {
			all += n
		}
		w.mu.Unlock()
		w.Run(r)
		time.Sleep(w.Work)
		w.mu.Lock()
		w.held[r.Fields["item"]]--
		w.mu.Unlock()
		r.Conn.Say(r.ID, "ok", fmt.Sprintf("company=%d,meter=inflight:%d;util:0.5", company, all), "done "+r.Body)
	case "ensure":
		r.Conn.Say(r.ID, "ok", "slots_up="+r.Fields["slots_up"], "")
	case "load", "health":
		r.Conn.Say(r.ID, "yes", "meter=inflight:1", "")
	}
}

// Run records that a request runs, unless it is a repeat that is dropped.
func (w *Worker) Run(r Request) {
	w.mu.Lock()
	key := r.Fields["nonce"]
	again := w.Drop != "" && r.Fields["cls"] == w.Drop && w.keys[key]
	w.keys[key] = true
	w.mu.Unlock()
	if w.Log != nil && !again {
		w.Log.Add(invariants.Record{Kind: invariants.RunStarted, Call: r.ID, Request: r.Body, Class: r.Fields["cls"], Worker: w.ID})
	}
}

// ReadMessage reads an array of bulk strings.
func ReadMessage(in *bufio.Reader) ([]string, error) {
	length := func(kind byte) (int, error) {
		l, err := in.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if len(l) < 4 || l[0] != kind {
			return 0, errors.New("not an array of bulk strings")
		}
		return strconv.Atoi(strings.TrimSuffix(l[1:], "\r\n"))
	}
	n, err := length('*')
	if err != nil || n < 1 || n > 16 {
		return nil, errors.Join(err, errors.New("no array"))
	}
	items := make([]string, n)
	for i := range items {
		size, err := length('$')
		if err != nil || size < 0 || size > 64<<20 {
			return nil, errors.Join(err, errors.New("no bulk string"))
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		items[i] = string(b[:size])
	}
	return items, nil
}

// requestOf reads a message to a worker; anything unusable is an error.
func requestOf(items []string) (Request, error) {
	r := Request{Verb: items[0]}
	want := map[string]int{"exec": 4, "drop": 2, "ensure": 3, "release": 2, "load": 2, "health": 2}[r.Verb]
	if len(items) != want {
		return r, fmt.Errorf("%s with %d items", r.Verb, len(items))
	}
	r.ID = items[1]
	fields := ""
	if len(items) > 2 {
		fields = items[2]
	}
	if len(items) > 3 {
		r.Body = items[3]
	}
	r.Fields = map[string]string{}
	for _, pair := range strings.Split(fields, ",") {
		if name, value, ok := strings.Cut(pair, "="); ok && value != "" {
			r.Fields[name] = value
		} else if pair != "" {
			return r, fmt.Errorf("field %q", pair)
		}
	}
	if r.Verb == "exec" {
		limit, err := strconv.Atoi(r.Fields["limit"])
		if err != nil || limit <= 0 || len(r.ID) != 16 || len(r.Fields["item"]) != 16 || r.Fields["cls"] == "" {
			return r, fmt.Errorf("unusable exec %q", items)
		}
	}
	return r, nil
}
