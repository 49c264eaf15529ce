package grpcserver

import (
	"testing"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
)

// TestDrainEndsIdleStreams: a stream without a call in flight is ended, since a drain would wait for it without end.
func TestDrainEndsIdleStreams(t *testing.T) {
	s := startServer(t)
	response := openStream(t, s, requestHeader(oip.StreamInfer), nil, false)
	waitForStream(s)
	s.Drain()
	response.wait(t)
	if status := grpc.StatusFromTrailers(response.trailers); status.Code != grpc.Unavailable {
		t.Errorf("ended with %v", status)
	}
}
