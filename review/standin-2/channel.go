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

// channel is a stand-in of the command channel of one router. Its events are numbered from 1.
type channel struct {
	mu     sync.Mutex
	events []string
	added  chan struct{} // closed when an event is added
}

func newChannel(first string) *channel {
	return &channel{events: []string{first}, added: make(chan struct{})}
}

func (c *channel) add(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event)
	close(c.added)
	c.added = make(chan struct{})
}

// after returns the body of an answer with the events after a number.
func (c *channel) after(number int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var parts []string
	for i := number; i < len(c.events); i++ {
		parts = append(parts, fmt.Sprintf(`{"cursor":%d,"nodes":%s}`, i+1, c.events[i]))
	}
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(c.events), strings.Join(parts, ","))
}

// ServeHTTP answers GET /cmd/next once there are later events or the wait has passed.
func (c *channel) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number, numberErr := strconv.Atoi(r.URL.Query().Get("resume"))
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("block"))
	if r.URL.Path != "/cmd/next" || numberErr != nil || waitErr != nil || number < 0 || wait < 0 || wait > 5000 {
		http.Error(w, "not a question", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	hasLater := len(c.events) > number
	added := c.added
	c.mu.Unlock()
	if !hasLater {
		select {
		case <-added:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	fmt.Fprint(w, c.after(number))
}

// serve listens over a link and returns the address.
func (c *channel) serve(l *link) (address string, err error) {
	conns := make(chan net.Conn)
	opened, err := l.listen(func(conn net.Conn) { conns <- conn })
	if err != nil {
		return "", err
	}
	go http.Serve(&passedConns{conns: conns, address: opened.socket.Addr()}, c)
	return opened.address, nil
}

// publicChannel is a command channel that can break off and come back at its address.
type publicChannel struct {
	*channel
	address string
	server  *http.Server
}

// open listens at the channel's address, or at a free one the first time.
func (p *publicChannel) open() error {
	if p.address == "" {
		p.address = "127.0.0.1:0"
	}
	socket, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.address = socket.Addr().String()
	p.server = &http.Server{Handler: p.channel}
	go p.server.Serve(socket)
	return nil
}

// breakOff ends all connections and refuses new ones.
func (p *publicChannel) breakOff() { p.server.Close() }

// passedConns is a net.Listener of connections that another listener has accepted.
type passedConns struct {
	conns   chan net.Conn
	address net.Addr
}

func (p *passedConns) Accept() (net.Conn, error) { return <-p.conns, nil }
func (p *passedConns) Close() error              { return nil }
func (p *passedConns) Addr() net.Addr            { return p.address }

// member returns the entry of a server in an event.
func member(s *server, address, state string, startedMS int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"big-box","cell":%d,"phase":%q,"size":1,"up_since_ms":%d}`,
		s.id, address, s.zone, s.cell, state, startedMS)
}

// listEvent returns the body of an event.
func listEvent(whole bool, members []string) string {
	return fmt.Sprintf(`{"revision":1,"complete":%v,"members":[%s]}`, whole, strings.Join(members, ","))
}
