package listen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// child is a server with few descriptors: it echoes what it reads until its standard input ends.
func child() {
	ln, err := On("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	loop, err := netpoll.NewEventLoop(func(_ context.Context, nc netpoll.Connection) error {
		p, err := nc.Reader().Next(nc.Reader().Len())
		if err == nil {
			_, err = nc.Write(append([]byte(nil), p...))
		}
		_ = nc.Reader().Release()
		return err
	})
	if err != nil {
		panic(err)
	}
	ln.Serve(loop)
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

func TestMain(m *testing.M) {
	if os.Getenv("LISTEN_TEST_CHILD") != "" {
		child()
	}
	os.Exit(m.Run())
}

// TestWithoutDescriptors: where the system has none left, connections are closed at once, the event loop neither spins
// nor stops, those that stand are served, and new ones are as soon as some have gone.
func TestWithoutDescriptors(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "LISTEN_TEST_CHILD=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(out)
	addr, err := lines.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	addr = strings.TrimSpace(addr)
	dial := func() net.Conn {
		t.Helper()
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
		return nc
	}
	echoes := func(nc net.Conn) bool {
		t.Helper()
		if _, err := nc.Write([]byte("x")); err != nil {
			return false
		}
		_, err := io.ReadFull(nc, make([]byte, 1))
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			t.Fatal("a connection is neither served nor closed")
		}
		return err == nil
	}
	var held []net.Conn
	turned := 0
	for range 40 {
		if nc := dial(); echoes(nc) {
			held = append(held, nc)
		} else {
			turned++
			_ = nc.Close()
		}
	}
	if len(held) == 0 || turned == 0 {
		t.Fatalf("%d served, %d turned away", len(held), turned)
	}
	for _, nc := range held {
		if !echoes(nc) {
			t.Error("a connection that stood is served no more")
		}
		_ = nc.Close()
	}
	for n := 0; ; n++ { // the closes reach the server in their own time
		nc := dial()
		ok := echoes(nc)
		_ = nc.Close()
		if ok {
			break
		}
		if n > 1000 {
			t.Fatal("nobody is served once descriptors are free")
		}
		time.Sleep(5 * time.Millisecond)
	}
	_ = in.Close()
	last, err := lines.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	var shed int
	var cpu string
	if _, err := fmt.Sscan(last, &shed, &cpu); err != nil || shed < turned {
		t.Errorf("%q: %v", last, err)
	}
	if d, err := time.ParseDuration(cpu); err != nil || d > 5*time.Second {
		t.Errorf("the event loop has used %s", cpu)
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}
