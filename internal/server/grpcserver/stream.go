package grpcserver

import (
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// stream is one gRPC stream: the receiver of its HTTP/2 stream and the client of its calls.
type stream struct {
	server      *Server
	http2Stream *http2.Stream

	// Set by Headers, before any message is received.
	path           string
	arrived        time.Time
	timeout        time.Duration // 0: the client set none
	encoding       string        // grpc-encoding
	acceptEncoding string        // grpc-accept-encoding
	metadata       []hpack.Field // of the client, for the worker

	mu              sync.Mutex // guards what follows
	messageReader   grpc.MessageReader
	unaryRequest    []byte // the complete request message of a unary call; nil: not received yet
	unconsumed      []byte // of a ModelStreamInfer: what came behind the request in flight
	halfClosed      bool   // the client has sent everything
	requestInFlight bool
	headerSent      bool // of the response
	ended           bool // by a response or by the client
	cancel          func()
	reportSent      func(n int) // to be called as queued bytes of the response are sent; nil: nobody needs to know
}

// streaming reports whether the stream carries a call for each of its messages.
func (s *stream) streaming() bool { return s.path == oip.StreamInfer }

// Headers implements http2.Receiver.
func (s *stream) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if s.path != "" { // a request's trailers carry nothing for gRPC
		s.receive(nil, end)
		return
	}
	s.arrived = time.Now()
	rejection, isGRPC := s.parseHeader(fields)
	draining := s.register()
	switch {
	case !isGRPC:
		s.markEnded()
		_ = s.http2Stream.WriteHeaders([]hpack.Field{{Name: ":status", Value: unsupportedMediaType}}, true)
	case rejection != nil:
		s.completeRequest(*rejection, nil)
	case end:
		s.receive(nil, true)
	case draining:
		s.serveNext(nil)
	}
}

// register adds the stream to its server, unless it has ended already, and reports whether the server drains. Its header
// has been read: another goroutine may use the stream from now on.
func (s *stream) register() (draining bool) {
	draining = s.server.addStream(s)
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended { // the connection was closed meanwhile
		s.server.removeStream(s)
	}
	return draining
}

// markEnded notes the stream's end.
func (s *stream) markEnded() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.server.removeStream(s)
}

// Data implements http2.Receiver.
func (s *stream) Data(_ *http2.Stream, p []byte, end bool) { s.receive(p, end) }

// Sent implements http2.Receiver.
func (s *stream) Sent(_ *http2.Stream, n int) {
	s.mu.Lock()
	reportSent := s.reportSent
	s.mu.Unlock()
	if reportSent != nil {
		reportSent(n)
	}
}

// Closed implements http2.Receiver. A call in flight is cancelled, as its client has left.
func (s *stream) Closed(_ *http2.Stream, _ error) {
	s.mu.Lock()
	alreadyEnded := s.ended
	s.ended = true
	cancel := s.cancel
	s.mu.Unlock()
	s.server.removeStream(s)
	if !alreadyEnded && cancel != nil {
		cancel()
	}
}
