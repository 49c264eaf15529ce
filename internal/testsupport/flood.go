package testsupport

import (
	"bytes"
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

const (
	floodBytes        = 64 << 20
	floodBlockedAfter = 300 * time.Millisecond
	floodSendBuffer   = 64 << 10
)

// Flood writes a message over and over until the peer accepts no byte for some time, and returns how many bytes it has
// accepted. It stops at 64 MB, far more than the buffers of two sockets hold.
func Flood(t testing.TB, conn net.Conn, message string) (accepted int) {
	t.Helper()
	if withBuffer, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = withBuffer.SetWriteBuffer(floodSendBuffer)
	}
	block := bytes.Repeat([]byte(message), max(floodSendBuffer/len(message), 1))
	for accepted < floodBytes {
		_ = conn.SetWriteDeadline(time.Now().Add(floodBlockedAfter))
		n, err := conn.Write(block)
		accepted += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return accepted
		}
		if err != nil {
			t.Fatalf("flood: %v after %d bytes", err, accepted)
		}
	}
	return accepted
}
