package listen

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// runServerProcess is the main function of an echo server with few free descriptors. At the end of its standard input
// it prints the number of connections that it shed and the processor time that it used.
func runServerProcess() {
	ln, err := Open("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	if err := ln.Serve(func(netConn net.Conn) { go echo(netConn) }); err != nil {
		panic(err)
	}
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		panic(err)
	}
	limit := uint64(len(open) + 6)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	fmt.Println(ln.Shed(), time.Duration(used.Utime.Nano()+used.Stime.Nano()))
	os.Exit(0)
}

// echo sends back what a client sends until the client closes the connection.
func echo(netConn net.Conn) {
	_, _ = io.Copy(netConn, struct{ io.Reader }{netConn})
	_ = netConn.Close()
}

func TestMain(m *testing.M) {
	if os.Getenv("LISTEN_TEST_CHILD") != "" {
		runServerProcess()
	}
	os.Exit(m.Run())
}

// serverProcess is a child process that runs runServerProcess.
type serverProcess struct {
	*testsupport.Child
	t       *testing.T
	address string
}

func startServerProcess(t *testing.T) *serverProcess {
	t.Helper()
	child := testsupport.StartChild(t, os.Stderr, "LISTEN_TEST_CHILD=1")
	address, err := child.Stdout.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return &serverProcess{child, t, strings.TrimSpace(address)}
}

func (p *serverProcess) dial() net.Conn {
	p.t.Helper()
	netConn, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = netConn.SetDeadline(time.Now().Add(20 * time.Second))
	return netConn
}

// isServed sends a byte on a connection and reports whether it is echoed. false means that the server closed the
// connection.
func (p *serverProcess) isServed(netConn net.Conn) bool {
	p.t.Helper()
	if _, err := netConn.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(netConn, make([]byte, 1))
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		p.t.Fatal("timeout: a connection is neither served nor closed")
	}
	return err == nil
}

// waitUntilServed dials until a new connection is served. This may take a while, because the server must first handle
// the closed connections.
func (p *serverProcess) waitUntilServed() {
	p.t.Helper()
	const attempts = 1002
	for range attempts {
		netConn := p.dial()
		served := p.isServed(netConn)
		_ = netConn.Close()
		if served {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.t.Fatal("no connection is served after descriptors were freed")
}

// stop ends the process and returns the figures that it printed.
func (p *serverProcess) stop() (shed int, processorTime time.Duration) {
	p.t.Helper()
	_ = p.Stdin.Close()
	line, err := p.Stdout.ReadString('\n')
	if err != nil {
		p.t.Fatal(err)
	}
	var duration string
	if _, err := fmt.Sscan(line, &shed, &duration); err != nil {
		p.t.Errorf("%q: %v", line, err)
	}
	if processorTime, err = time.ParseDuration(duration); err != nil {
		p.t.Errorf("%q: %v", line, err)
	}
	if err := p.Cmd.Wait(); err != nil {
		p.t.Error(err)
	}
	return shed, processorTime
}

// TestListenerWithoutFreeDescriptors guards against a listener that spins or stops when the process has no descriptor
// left. New connections must be closed immediately, established ones must be served, and new ones must be
// served again after some have been closed.
func TestListenerWithoutFreeDescriptors(t *testing.T) {
	p := startServerProcess(t)
	var served []net.Conn
	closed := 0
	for range 40 {
		if netConn := p.dial(); p.isServed(netConn) {
			served = append(served, netConn)
		} else {
			closed++
			_ = netConn.Close()
		}
	}
	if len(served) == 0 || closed == 0 {
		t.Fatalf("%d served, %d closed", len(served), closed)
	}
	for _, netConn := range served {
		if !p.isServed(netConn) {
			t.Error("an established connection is no longer served")
		}
		_ = netConn.Close()
	}
	p.waitUntilServed()
	shed, processorTime := p.stop()
	if shed < closed {
		t.Errorf("the server counted %d connections shed, its clients %d", shed, closed)
	}
	if processorTime > 5*time.Second {
		t.Errorf("the server used %s of processor time", processorTime)
	}
}

// TestCloseRightAfterServe guards against a listener that is closed right after Serve and then accepts connections of
// the next listener, which gets the same descriptor numbers.
func TestCloseRightAfterServe(t *testing.T) {
	serve := func(handle func(net.Conn)) *Listener {
		t.Helper()
		ln, err := Open("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if err := ln.Serve(handle); err != nil {
			t.Fatal(err)
		}
		return ln
	}
	for range 100 {
		closed := serve(func(netConn net.Conn) {
			_ = netConn.Close()
			t.Error("a closed listener accepted a connection of the next one")
		})
		number := closed.Fd()
		_ = closed.Close()
		accepted := make(chan net.Conn, 1)
		ln := serve(func(netConn net.Conn) { accepted <- netConn })
		if ln.Fd() != number {
			t.Logf("the next listener has descriptor %d, not %d", ln.Fd(), number)
		}
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = testsupport.Await(t, accepted, "the connection").Close()
		_ = client.Close()
		_ = ln.Close()
	}
}

// TestCloseWaitsForServe guards against a Close that returns while a connection is still being accepted, so that its
// handler runs after the end of its server.
func TestCloseWaitsForServe(t *testing.T) {
	ln, err := Open("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handling, release := make(chan struct{}), make(chan struct{})
	if err := ln.Serve(func(netConn net.Conn) {
		_ = netConn.Close()
		close(handling)
		<-release
	}); err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	testsupport.Await(t, handling, "the handler")
	closed := make(chan struct{})
	go func() {
		_ = ln.Close()
		close(closed)
	}()
	select {
	case <-closed:
		t.Error("Close returned while a connection was being handled")
	case <-time.After(50 * time.Millisecond): // a shorter wait could miss a fault, but never fail correct code
	}
	close(release)
	testsupport.Await(t, closed, "the end of Close")
}
