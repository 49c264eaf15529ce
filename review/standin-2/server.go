package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of ikeja-brew: a starting server has at least this share of its capacity, and all of it after this time.
const (
	startCapacity = 0.18
	warmWithin    = 16 * time.Second
	serverCores   = 5
)

// server is a stand-in of a model server. It loads a function when a call finds it missing, runs calls on its cores,
// drops repeats of a key within its cell, and answers as PROTOCOL.md says.
type server struct {
	id, zone string
	cell     int
	record   *record
	loadTime time.Duration
	meanWork time.Duration
	room     int // calls that it holds; further ones are turned away unseen
	cores    chan struct{}

	mu       sync.Mutex
	loadedAt map[string]time.Time // by function: when its copy stands
	held     map[string]int       // calls of each function
	active   int                  // calls held
	draining bool
	keys     *keys

	startedAt time.Time // of a late start, else zero
	arrivals  []time.Time
	conns     map[net.Conn]bool
}

// keys holds the idempotency keys that the servers of one cell have seen.
type keys struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

// isRepeat notes a key and reports whether it was seen within the window.
func (k *keys) isRepeat(key string, window time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, seen := k.seen[key]
	if seen && time.Since(at) < window {
		return true
	}
	k.seen[key] = time.Now()
	return false
}

func newServer(r *record, id, zone string, cell int, cellKeys *keys) *server {
	return &server{id: id, zone: zone, cell: cell, record: r, loadTime: 500 * time.Millisecond,
		meanWork: 100 * time.Millisecond, room: 1000, cores: make(chan struct{}, serverCores),
		loadedAt: map[string]time.Time{}, held: map[string]int{}, keys: cellKeys, conns: map[net.Conn]bool{}}
}

// serve serves one connection.
func (s *server) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	answer := func(items ...string) {
		writing.Lock()
		defer writing.Unlock()
		io.WriteString(conn, encode(items...))
	}
	for {
		items, err := readMessage(in)
		if err != nil {
			return
		}
		switch {
		case items[0] == "exec" && len(items) == 4:
			go s.execute(items[1], parseFields(items[2]), items[3], answer)
		case items[0] == "load" && len(items) == 2, items[0] == "health" && len(items) == 2:
			go s.report(items[1], answer)
		case items[0] == "ensure" && len(items) == 3:
			go s.ensure(items[1], parseFields(items[2])["item"], answer)
		case items[0] == "drop", items[0] == "release": // running work goes on
		default:
			return
		}
	}
}

// execute runs a call and answers it.
func (s *server) execute(id string, fields map[string]string, body string, answer func(...string)) {
	function := fields["item"]
	s.record.add("server %s gets exec %s %s limit=%s", s.id, id, fields["cls"], fields["limit"])
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	if s.draining || s.active >= s.room {
		s.mu.Unlock()
		s.record.add("server %s answers %s refused", s.id, id)
		answer(id, "refused", "-", "")
		return
	}
	s.active++
	s.held[function]++
	company := s.held[function] - 1
	standsAt, known := s.loadedAt[function]
	if !known {
		standsAt = time.Now().Add(s.loadTime)
		s.loadedAt[function] = standsAt
	}
	s.mu.Unlock()
	time.Sleep(time.Until(standsAt))
	s.cores <- struct{}{}
	if key := fields["nonce"]; fields["cls"] != "renew" || !s.keys.isRepeat(key, 6*time.Second) {
		s.record.add("server %s runs %s", s.id, id)
		time.Sleep(time.Duration(float64(s.meanWork) * (0.6 + 0.8*rand.Float64()) / s.capacity(time.Now())))
	}
	<-s.cores
	s.mu.Lock()
	s.active--
	s.held[function]--
	active := s.active
	s.mu.Unlock()
	s.record.add("server %s answers %s ok", s.id, id)
	answer(id, "ok", fmt.Sprintf("company=%d,meter=inflight:%d", company, active), "done "+body)
}

// capacity returns the share of its capacity that the server has: it rises evenly after a start.
func (s *server) capacity(at time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		return 1
	}
	return min(1, startCapacity+(1-startCapacity)*float64(at.Sub(s.startedAt))/float64(warmWithin))
}

// restart ends the server's process and starts it again: its connections end, and it is empty and cold.
func (s *server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
	s.startedAt = time.Now()
	s.arrivals = nil
	s.loadedAt = map[string]time.Time{}
	s.record.add("server %s restarts, %d connections end", s.id, len(s.conns))
}

// report answers a probe.
func (s *server) report(tag string, answer func(...string)) {
	s.mu.Lock()
	word := "yes"
	if s.draining {
		word = "no"
	}
	active := s.active
	s.mu.Unlock()
	s.record.add("server %s answers probe %s %s", s.id, tag, word)
	answer(tag, word, fmt.Sprintf("meter=inflight:%d", active), "")
}

// ensure loads a function.
func (s *server) ensure(tag, function string, answer func(...string)) {
	s.record.add("server %s gets ensure %s", s.id, function)
	s.mu.Lock()
	standsAt, known := s.loadedAt[function]
	if !known {
		standsAt = time.Now().Add(s.loadTime)
		s.loadedAt[function] = standsAt
	}
	s.mu.Unlock()
	time.Sleep(time.Until(standsAt))
	answer(tag, "ok", "slots_up=1", "")
}

// encode returns a RESP array of bulk strings.
func encode(items ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(items))
	for _, item := range items {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(item), item)
	}
	return text.String()
}

// readMessage reads a RESP array of bulk strings.
func readMessage(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*')
	if err != nil || count < 1 || count > 8 {
		return nil, errors.New("not an array")
	}
	items := make([]string, count)
	for i := range items {
		size, err := readLength(in, '$')
		if err != nil || size < 0 || size > 1<<20 {
			return nil, errors.New("not a bulk string")
		}
		item := make([]byte, size+2)
		if _, err := io.ReadFull(in, item); err != nil {
			return nil, err
		}
		items[i] = string(item[:size])
	}
	return items, nil
}

func readLength(in *bufio.Reader, prefix byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil || len(line) < 4 || line[0] != prefix {
		return 0, errors.New("not a length")
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		fields[name] = value
	}
	return fields
}
