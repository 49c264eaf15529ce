package soak

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

const (
	floodChunkBytes    = 32 << 10
	floodInterval      = 5 * time.Millisecond // between two chunks of a connection
	floodConnsPerInput = 2
	floodWriteTimeout  = 100 * time.Millisecond
)

// floodInputs are what the connections of a ConnectionFlood send over and over. A router skips empty lines, answers
// pings and rejects noise.
var floodInputs = []string{"\r\n", "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n", "noise "}

// repeated returns a chunk that consists of whole messages.
func repeated(message string) string { return strings.Repeat(message, floodChunkBytes/len(message)) }

// floodConnections sends input without end to a router, on a few connections that don't read the responses.
func (r *run) floodConnections(fault Fault) error {
	end := time.Now().Add(fault.Duration)
	var flooding sync.WaitGroup
	for _, input := range floodInputs {
		for range floodConnsPerInput {
			flooding.Go(func() { floodUntil(end, r.clients[fault.Target].address, repeated(input)) })
		}
	}
	flooding.Wait()
	return nil
}

// floodUntil writes a chunk over and over. It opens a new connection whenever one ends.
func floodUntil(end time.Time, address, chunk string) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			time.Sleep(floodInterval)
			continue
		}
		for err == nil && time.Now().Before(end) {
			_ = conn.SetWriteDeadline(time.Now().Add(floodWriteTimeout))
			_, err = io.WriteString(conn, chunk)
			time.Sleep(floodInterval)
		}
		_ = conn.Close()
	}
}

// floodFromWorker makes a worker send responses under ids that no router has used, on all its connections.
func (r *run) floodFromWorker(fault Fault) error {
	worker := r.platform.worker(fault.Target)
	chunk := repeated(fakeplatform.EncodeMessage("ffffffffffffffff", "ok", "-", "nobody asked"))
	for end := time.Now().Add(fault.Duration); time.Now().Before(end); time.Sleep(floodInterval) {
		for _, server := range worker.servers {
			server.WriteToAll(chunk, floodWriteTimeout)
		}
	}
	return nil
}
