package testsupport

import (
	"net"
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

// UnusedAddress returns a loopback address on which nothing listens.
func UnusedAddress(t testing.TB) string {
	t.Helper()
	listener := Listen(t)
	_ = listener.Close()
	return listener.Addr().String()
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
