package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// link is the network between a group of listeners and the routers. While it is cut, nothing is said: open connections
// stay open and silent, and new ones never come up. Afterwards the bytes that were on their way arrive.
type link struct {
	mu        sync.Mutex
	restored  chan struct{} // closed while the link is up
	listeners []*listener
}

func newLink() *link {
	l := &link{restored: make(chan struct{})}
	close(l.restored)
	return l
}

// wait returns once the link is up.
func (l *link) wait() {
	l.mu.Lock()
	restored := l.restored
	l.mu.Unlock()
	<-restored
}

// cut takes the link down.
func (l *link) cut() {
	l.mu.Lock()
	l.restored = make(chan struct{})
	l.mu.Unlock()
	var filling sync.WaitGroup
	for _, listening := range l.listeners {
		filling.Add(1)
		go func() {
			defer filling.Done()
			listening.fill()
		}()
	}
	filling.Wait()
}

// restore brings the link up again.
func (l *link) restore() {
	for _, listening := range l.listeners {
		listening.empty()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.restored)
}

// listener accepts connections over a link.
type listener struct {
	link    *link
	socket  *net.TCPListener
	address string

	mu      sync.Mutex
	fillers []net.Conn
}

// listen opens a listener on a free loopback port and serves each connection on a goroutine of its own.
func (l *link) listen(serve func(net.Conn)) (*listener, error) {
	socket, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	opened := &listener{link: l, socket: socket, address: socket.Addr().String()}
	l.listeners = append(l.listeners, opened)
	go opened.acceptAll(serve)
	return opened, nil
}

func (l *listener) acceptAll(serve func(net.Conn)) {
	for {
		l.link.wait()
		conn, err := l.socket.Accept()
		if err != nil {
			return
		}
		if l.isFiller(conn) {
			conn.Close()
			continue
		}
		go serve(&linkedConn{Conn: conn, link: l.link})
	}
}

// isFiller reports whether a connection is one that fill has made.
func (l *listener) isFiller(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, filler := range l.fillers {
		if filler.LocalAddr().String() == conn.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// setBacklog sets how many connections the system brings up before they are accepted.
func (l *listener) setBacklog(backlog int) {
	raw, err := l.socket.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) })
	}
}

// fill fills the backlog of the listener, so that no further connection comes up.
func (l *listener) fill() {
	l.setBacklog(0)
	for range 8 {
		conn, err := net.DialTimeout("tcp", l.address, 100*time.Millisecond)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.fillers = append(l.fillers, conn)
		l.mu.Unlock()
	}
}

// empty lets connections come up again.
func (l *listener) empty() {
	l.setBacklog(128)
	l.mu.Lock()
	fillers := l.fillers
	l.mu.Unlock()
	for _, filler := range fillers {
		filler.Close()
	}
}

// linkedConn is a connection that is silent in both directions while its link is cut.
type linkedConn struct {
	net.Conn
	link *link
}

func (c *linkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.wait()
	return n, err
}

func (c *linkedConn) Write(p []byte) (int, error) {
	c.link.wait()
	return c.Conn.Write(p)
}
