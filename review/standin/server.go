package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// server is a model server. Its behaviour is that of a sound one; exec, if set, decides how a request ends.
type server struct {
	id      string
	cell    int
	addr    string
	startMS int64 // up_since_ms in the list
	rec     *record
	keys    *keyStore // of the cell
	work    time.Duration
	// exec, if not nil, returns the word of the answer to a request, or "" for no answer. The word "ok" runs the
	// request; "error" runs it, too, if ran is true; "reset" runs it and then resets the connection.
	exec func(s *server, class string) (word string, ran bool)
	// known, if not nil, reports whether the server knows a function. It answers "error" to requests for others.
	known func(function string) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	draining bool
	inflight int
	stopped  bool
}

// keyStore holds the idempotency keys that the servers of one cell have run.
type keyStore struct {
	mu   sync.Mutex
	keys map[string]time.Time
}

// add reports whether the key is new to the cell.
func (k *keyStore) add(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.keys == nil {
		k.keys = map[string]time.Time{}
	}
	_, known := k.keys[key]
	if !known {
		k.keys[key] = time.Now()
	}
	return !known
}

// start listens on the server's address, or on a free one if it has none.
func (s *server) start() error {
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	for end := time.Now().Add(2 * time.Second); err != nil && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", addr)
	}
	if err != nil {
		return err
	}
	s.addr = listener.Addr().String()
	s.listener = listener
	s.conns = map[net.Conn]bool{}
	s.rec.add("server %s cell=%d starts at %s", s.id, s.cell, s.addr)
	go s.accept(listener)
	return nil
}

// kill ends the server as the death of its process does: the listener closes and all connections are reset.
func (s *server) kill() {
	s.mu.Lock()
	s.stopped = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.mu.Unlock()
	s.rec.add("server %s dies", s.id)
}

func (s *server) setDraining(on bool) {
	s.mu.Lock()
	s.draining = on
	s.mu.Unlock()
	s.rec.add("server %s draining=%v", s.id, on)
}

func (s *server) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.stopped {
			_ = c.Close()
		}
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var writing sync.Mutex
	reply := func(items ...string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = c.Write([]byte(encodeMessage(items...)))
	}
	for {
		items, err := readMessage(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		draining, inflight, stopped := s.draining, s.inflight, s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		switch {
		case items[0] == "exec" && len(items) == 4:
			go s.handleExec(c, items, draining, reply)
		case items[0] == "ensure" && len(items) == 3:
			fields := parseFields(items[2])
			at := s.rec.add("server %s gets ensure %s %s", s.id, items[1], items[2])
			if fields["slots_up"] != "0" {
				runs.got(s.id, "order to load "+items[2], at)
			}
			if draining && fields["slots_up"] != "0" {
				reply(items[1], "refused", "slots_up=0", "")
				continue
			}
			go func() {
				time.Sleep(30 * time.Millisecond)
				reply(items[1], "ok", "slots_up="+fields["slots_up"], "")
			}()
		case items[0] == "health" || items[0] == "load":
			word := "yes"
			if draining {
				word = "no"
			}
			s.rec.add("server %s gets %s %s, answers %s", s.id, items[0], items[1], word)
			reply(items[1], word, fmt.Sprintf("meter=inflight:%d", inflight), "")
		case items[0] == "drop" || items[0] == "release":
			s.rec.add("server %s gets %s %s", s.id, items[0], items[1])
		default:
			s.rec.add("server %s gets unusable message %.80q", s.id, items)
			return
		}
	}
}

// handleExec runs one request and answers it.
func (s *server) handleExec(c net.Conn, items []string, draining bool, reply func(...string)) {
	id, fields := items[1], parseFields(items[2])
	class, key := fields["cls"], fields["nonce"]
	arrived := s.rec.now()
	runs.got(s.id, "call "+id, arrived)
	if draining {
		s.rec.add("server %s cell=%d gets exec %s class=%s key=%s, answers refused (drains)", s.id, s.cell, id, class, key)
		reply(id, "refused", "-", "")
		return
	}
	word, ran := "ok", true
	if s.exec != nil {
		word, ran = s.exec(s, class)
	}
	if s.known != nil && !s.known(fields["item"]) {
		reply(id, "error", "-", "")
		return
	}
	runs.arrived(s, id, class, key, arrived, word, ran)
	s.mu.Lock()
	s.inflight++
	inflight := s.inflight
	s.mu.Unlock()
	time.Sleep(s.work)
	s.mu.Lock()
	s.inflight--
	s.mu.Unlock()
	s.rec.add("server %s cell=%d got exec %s class=%s key=%s at %.4f, ran=%v, answers %s",
		s.id, s.cell, id, class, key, arrived.Seconds(), ran, word)
	switch word {
	case "":
	case "reset":
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	case "ok":
		reply(id, "ok", fmt.Sprintf("company=0,meter=inflight:%d", inflight), "done "+id)
	default:
		reply(id, word, "-", "")
	}
}
