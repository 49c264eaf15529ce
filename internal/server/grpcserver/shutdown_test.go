package grpcserver

import (
	"sync"
	"testing"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// TestDrainEndsIdleStreams: a stream without a call in flight is ended, since a drain would wait for it without end.
func TestDrainEndsIdleStreams(t *testing.T) {
	s := startServer(t)
	response := openStream(t, s, requestHeader(oip.StreamInfer), nil, false)
	waitForStream(t, s)
	s.Drain()
	response.wait(t)
	if status := grpc.StatusFromTrailers(response.trailers); status.Code != grpc.Unavailable {
		t.Errorf("ended with %v", status)
	}
}

// TestDrainWhileStreamsOpen drains while streams are being opened: each of them ends, none stays open without a call.
// The race detector checks what they share.
func TestDrainWhileStreamsOpen(t *testing.T) {
	for range 20 {
		s := startServer(t)
		responses := make([]*responseReader, 8)
		conns := make([]*http2.Conn, len(responses))
		for i := range responses {
			responses[i] = newResponseReader()
			conns[i] = dial(t, s, responses[i])
		}
		var openers sync.WaitGroup
		opened := make([]bool, len(responses))
		for i, conn := range conns {
			openers.Go(func() {
				_, err := conn.OpenStream(responses[i], requestHeader(oip.StreamInfer), nil, false)
				opened[i] = err == nil
			})
		}
		s.Drain()
		openers.Wait()
		for i, response := range responses {
			if opened[i] {
				_ = response.waitForEnd(t) // by a status, or unprocessed behind the drain
			}
		}
	}
}

// TestStreamOpenedBehindDrain: a ModelStreamInfer whose header arrives once the drain has begun is ended at once.
func TestStreamOpenedBehindDrain(t *testing.T) {
	s := startServer(t)
	response := newResponseReader()
	conn := dial(t, s, response)
	s.mu.Lock()
	s.draining = true // as Drain does, but the client gets no GOAWAY yet
	s.mu.Unlock()
	if _, err := conn.OpenStream(response, requestHeader(oip.StreamInfer), nil, false); err != nil {
		t.Fatal(err)
	}
	response.wait(t)
	if status := grpc.StatusFromTrailers(response.trailers); status.Code != grpc.Unavailable {
		t.Errorf("ended with %v", status)
	}
}
