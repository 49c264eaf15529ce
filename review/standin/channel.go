package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// channel is the command channel: numbered events over a long poll.
type channel struct {
	rec  *record
	addr string

	mu     sync.Mutex
	events []string
	added  chan struct{}
	silent bool          // polls are accepted and not answered
	delay  time.Duration // of each answer
	server *http.Server
}

// startChannel starts a command channel on a free address. Its first event holds the list of all servers.
func startChannel(rec *record, first string) (*channel, error) {
	ch := &channel{rec: rec, events: []string{first}, added: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ch.addr = listener.Addr().String()
	ch.serve(listener)
	return ch, nil
}

func (ch *channel) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cmd/next", ch.poll)
	ch.server = &http.Server{Handler: mux}
	go func() { _ = ch.server.Serve(listener) }()
}

// tell adds an event.
func (ch *channel) tell(members ...string) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.events = append(ch.events, nodesEvent(false, members...))
	ch.rec.add("channel: event %d: %s", len(ch.events), strings.Join(members, " "))
	close(ch.added)
	ch.added = make(chan struct{})
}

// setSilent makes the channel fall silent, or speak again. Open polls are not answered either.
func (ch *channel) setSilent(on bool) {
	ch.mu.Lock()
	ch.silent = on
	ch.mu.Unlock()
	ch.rec.add("channel: silent=%v", on)
}

// setDelay makes each answer of the channel come late.
func (ch *channel) setDelay(delay time.Duration) {
	ch.mu.Lock()
	ch.delay = delay
	ch.mu.Unlock()
	ch.rec.add("channel: answers come %v late", delay)
}

// all returns what a router's configuration has as known.
func (ch *channel) all() string {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.body(0)
}

func (ch *channel) body(after int) string {
	var events []string
	for i := after; i < len(ch.events); i++ {
		events = append(events, fmt.Sprintf(`{"cursor":%d,%s}`, i+1, ch.events[i]))
	}
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(ch.events), strings.Join(events, ","))
}

func (ch *channel) poll(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("resume"))
	block, _ := strconv.Atoi(r.URL.Query().Get("block"))
	end := time.After(time.Duration(min(block, 5000)) * time.Millisecond)
	ch.mu.Lock()
	added, last := ch.added, len(ch.events)
	ch.mu.Unlock()
	if last <= after {
		select {
		case <-added:
		case <-end:
		case <-r.Context().Done():
			return
		}
	}
	for {
		ch.mu.Lock()
		silent, delay, body := ch.silent, ch.delay, ch.body(min(after, len(ch.events)))
		ch.mu.Unlock()
		if !silent {
			time.Sleep(delay)
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprint(w, body)
			return
		}
		select { // a poll of a silent channel gets no answer, and its connection stays open
		case <-r.Context().Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// member returns a server's entry in an event.
func member(s *server, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"hall-a","flavor":"big-box","cell":%d,"phase":%q,"size":1.0,"up_since_ms":%d}`,
		s.id, s.addr, s.cell, phase, s.startMS)
}

func nodesEvent(complete bool, members ...string) string {
	return fmt.Sprintf(`"nodes":{"revision":1,"complete":%v,"members":[%s]}`, complete, strings.Join(members, ","))
}
