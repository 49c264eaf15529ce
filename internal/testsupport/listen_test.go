package testsupport

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// TestUnusedAddressStaysUnused guards against tests in which another test's server stands at an address that is to refuse
// connections: a port that was only looked up was free again at once.
func TestUnusedAddressStaysUnused(t *testing.T) {
	t.Parallel()
	address := UnusedAddress(t)
	if listener, err := net.Listen("tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listening on %s: %v, %v; want the address in use", address, listener, err)
	}
	if conn, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connecting to %s: %v, %v; want the connection refused", address, conn, err)
	}
}
