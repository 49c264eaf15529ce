package grpcserver

import (
	"sync"
	"testing"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// TestDrainEndsIdleStreams checks that a drain ends a stream without a call in flight, for which it would otherwise
// wait forever.
func TestDrainEndsIdleStreams(t *testing.T) {
	s := startServer(t)
	response := openStream(t, s, requestHeader(oip.StreamInfer), nil, false)
	waitForStream(t, s)
	s.Drain()
	response.wait(t)
	if status := grpc.StatusFromTrailers(response.trailers); status.Code != grpc.Unavailable {
		t.Errorf("stream ended with %v, want UNAVAILABLE", status)
	}
}

// TestDrainWhileStreamsOpen drains while streams are being opened. Each of them must end; none may stay open without a
// call. With the race detector it also checks the access to shared state.
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
				_ = response.waitForEnd(t) // with a status, or unprocessed because it was opened after GOAWAY
			}
		}
	}
}

// TestStreamOpenedAfterDrain checks that a ModelStreamInfer whose header arrives after the drain has begun is ended at
// once.
func TestStreamOpenedAfterDrain(t *testing.T) {
	s := startServer(t)
	response := newResponseReader()
	conn := dial(t, s, response)
	s.mu.Lock()
	s.draining = true // as Drain sets it, but without GOAWAY, which would stop the client from opening the stream
	s.mu.Unlock()
	if _, err := conn.OpenStream(response, requestHeader(oip.StreamInfer), nil, false); err != nil {
		t.Fatal(err)
	}
	response.wait(t)
	if status := grpc.StatusFromTrailers(response.trailers); status.Code != grpc.Unavailable {
		t.Errorf("stream ended with %v, want UNAVAILABLE", status)
	}
}
