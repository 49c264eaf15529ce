package testsupport

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// ListenWithFullBacklog returns the address of a listener whose backlog is full, so that further connects hang until
// accept is called, which empties the backlog.
func ListenWithFullBacklog(t testing.TB) (addr string, accept func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	ln, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	t.Cleanup(func() { _ = ln.Close() })
	var fill []net.Conn
	for {
		nc, err := net.DialTimeout("tcp", ln.Addr().String(), 200*time.Millisecond)
		if err != nil {
			break
		}
		if fill = append(fill, nc); len(fill) > 64 {
			t.Skip("this system accepts connections beyond a full backlog")
		}
	}
	return ln.Addr().String(), func() net.Listener {
		for _, nc := range fill {
			_ = nc.Close()
			got, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			_ = got.Close()
		}
		return ln
	}
}
