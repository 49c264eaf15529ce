package socket

import (
	"net"
	"time"
)

// Dial connects to an address on the network "tcp" or "unix". The connection sends no keep-alive probes. Errors of
// system calls wrap a syscall.Errno.
func Dial(network, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return dialer.Dial(network, address)
}
