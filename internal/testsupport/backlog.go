package testsupport

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// ListenWithFullBacklog returns the address of a listener whose backlog is full, so that further connects hang. accept
// empties the backlog and returns the listener.
func ListenWithFullBacklog(t testing.TB) (addr string, accept func() net.Listener) {
	t.Helper()
	fd := bindLoopback(t)
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	t.Cleanup(func() { _ = listener.Close() })
	var queued []net.Conn
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		if queued = append(queued, conn); len(queued) > 64 {
			t.Skip("this system accepts connections beyond a full backlog")
		}
	}
	return listener.Addr().String(), func() net.Listener {
		for _, conn := range queued {
			_ = conn.Close()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_ = accepted.Close()
		}
		return listener
	}
}
