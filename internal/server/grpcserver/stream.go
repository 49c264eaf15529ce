package grpcserver

import (
	"sync"
	"time"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// stream is one gRPC stream. It receives the events of its HTTP/2 stream and is the router.Client of its calls.
type stream struct {
	server      *Server
	http2Stream *http2.Stream

	// Set by Headers before any message is received, and constant afterwards.
	path           string
	receivedAt     time.Time     // when the request's header was received
	timeout        time.Duration // grpc-timeout; 0 means none
	encoding       string        // grpc-encoding
	acceptEncoding string        // grpc-accept-encoding
	metadata       []hpack.Field // the client's metadata, forwarded to the worker

	mu              sync.Mutex // guards the fields below
	messageReader   grpc.MessageReader
	unaryRequest    []byte      // complete request message of a unary call; nil until it is received
	unconsumed      []byte      // of a ModelStreamInfer: bytes received after the request in flight
	halfClosed      bool        // the client has sent all its requests
	requestInFlight bool        // a request is being served
	headerSent      bool        // the response's header was sent
	ended           bool        // the response is complete or the client has ended the stream
	cancel          func()      // cancels the call in flight; may be nil
	notifyWritten   func(n int) // called with the number of queued response bytes as they are written; may be nil
}

// streaming reports whether each message of the stream is a call.
func (s *stream) streaming() bool { return s.path == oip.StreamInfer }

// Headers implements http2.Receiver.
func (s *stream) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if s.path != "" { // trailers of the request; gRPC defines none
		s.receive(nil, end)
		return
	}
	s.receivedAt = time.Now()
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

// register adds the stream to the server's open streams, unless it has already ended, and reports whether the server is
// draining. It must be called after parseHeader, since Drain may use the stream from then on, on another goroutine.
func (s *stream) register() (draining bool) {
	draining = s.server.addStream(s)
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended { // the connection was closed in the meantime
		s.server.removeStream(s)
	}
	return draining
}

// markEnded records that the stream has ended, without sending a status.
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
	notifyWritten := s.notifyWritten
	s.mu.Unlock()
	if notifyWritten != nil {
		notifyWritten(n)
	}
}

// Closed implements http2.Receiver. It cancels a call in flight, because its client has reset the stream or
// disconnected.
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
