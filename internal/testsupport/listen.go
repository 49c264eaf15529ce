package testsupport

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// Listen returns a listener on a free loopback port. It is closed when the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// UnusedAddress returns a loopback address on which nothing listens until the test ends. A socket that doesn't listen is
// bound to it, so that no other test gets the port.
func UnusedAddress(t testing.TB) string {
	t.Helper()
	fd := bindLoopback(t)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		t.Fatalf("bound to %T, want an IPv4 address", bound)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port)).String()
}

// bindLoopback returns the descriptor of a socket that is bound to a free loopback port and doesn't listen.
func bindLoopback(t testing.TB) (fd int) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	return fd
}

// ServeConns accepts connections until the test ends. It calls serve for each one in a separate goroutine and then
// closes it. addr is the address that it listens on.
func ServeConns(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener := Listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}
