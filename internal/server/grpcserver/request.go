package grpcserver

import (
	"errors"
	"time"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/server"
	"github.com/topazfront/topazfront/internal/transport/grpc"
)

// receive handles bytes of the request. end reports that they are the last ones.
func (s *stream) receive(p []byte, end bool) {
	if !s.streaming() {
		s.receiveUnary(p, end)
		return
	}
	s.mu.Lock()
	s.halfClosed = s.halfClosed || end
	s.mu.Unlock()
	s.serveNext(p)
}

// receiveUnary handles bytes of a unary call's request, and serves the request when it is complete.
func (s *stream) receiveUnary(p []byte, end bool) {
	s.http2Stream.Consume(len(p))
	s.mu.Lock()
	if s.ended || s.requestInFlight {
		s.mu.Unlock()
		return
	}
	if rejection := s.readUnary(p); rejection != nil {
		s.mu.Unlock()
		s.completeRequest(*rejection, nil)
		return
	}
	request, complete := s.unaryRequest, s.unaryRequest != nil && !s.messageReader.Partial()
	s.requestInFlight = end
	s.mu.Unlock()
	switch {
	case !end:
	case !complete:
		s.completeRequest(grpc.Status{Code: grpc.Internal, Message: "the request ends without a whole message"}, nil)
	default:
		s.serveRequest(request)
	}
}

// readUnary reads the single message of a unary call's request. It returns the status for a request that can't be
// served, or nil. The caller holds s.mu.
func (s *stream) readUnary(p []byte) (rejection *grpc.Status) {
	for len(p) > 0 {
		message, rest, err := s.messageReader.Next(p)
		switch {
		case err != nil:
			return &grpc.Status{Code: readErrorCode(err), Message: err.Error()}
		case message != nil && s.unaryRequest != nil:
			return &grpc.Status{Code: grpc.Unimplemented, Message: "several request messages in a unary call"}
		case message != nil:
			s.unaryRequest = append([]byte(nil), message...)
		}
		p = rest
	}
	return nil
}

// readErrorCode returns the status code for an error of the message reader.
func readErrorCode(err error) grpc.Code {
	if errors.Is(err, grpc.ErrCompressedFlag) {
		return grpc.Internal
	}
	return grpc.ResourceExhausted
}

// serveNext handles bytes of a ModelStreamInfer and serves the next request if none is in flight. Bytes that arrive
// while a request is in flight are buffered and not yet credited to the flow-control window, so that the window bounds
// the size of the buffer.
func (s *stream) serveNext(p []byte) {
	s.mu.Lock()
	if s.ended || !s.streaming() {
		s.mu.Unlock()
		s.http2Stream.Consume(len(p))
		return
	}
	if s.requestInFlight {
		s.unconsumed = append(s.unconsumed, p...)
		s.mu.Unlock()
		return
	}
	if len(s.unconsumed) > 0 {
		p = append(s.unconsumed, p...)
		s.unconsumed = nil
	}
	message, rest, err := s.messageReader.Next(p)
	var request []byte
	if message != nil {
		request = append([]byte(nil), message...)
		s.unconsumed = append([]byte(nil), rest...)
		s.requestInFlight = true
	}
	consumed := len(p) - len(rest)
	allServed := request == nil && s.halfClosed
	partial := s.messageReader.Partial()
	s.mu.Unlock()
	s.http2Stream.Consume(consumed)
	shuttingDown := grpc.Status{Code: grpc.Unavailable, Message: "the gateway is shutting down"}
	switch {
	case err != nil:
		s.completeRequest(grpc.Status{Code: readErrorCode(err), Message: err.Error()}, nil)
	case request != nil && s.server.isDraining():
		s.completeRequest(shuttingDown, nil)
	case request != nil:
		s.serveRequest(request)
	case allServed && partial:
		s.completeRequest(grpc.Status{Code: grpc.Internal, Message: "the stream ends within a message"}, nil)
	case allServed:
		s.end(grpc.Status{}, nil)
	case s.server.isDraining():
		s.completeRequest(shuttingDown, nil)
	}
}

// serveRequest serves one complete request message, given with its gRPC prefix.
func (s *stream) serveRequest(message []byte) {
	body, err := grpc.MessageBody(message, s.encoding, s.server.cfg.CallBuilder.MaxMessageBytes)
	switch {
	case err != nil:
		s.completeRequest(grpc.Status{Code: grpc.InvalidArgument, Message: err.Error()}, nil)
	case s.path == oip.Infer || s.path == oip.StreamInfer:
		s.serveInference(message, body)
	default:
		s.serveGatewayCall(body)
	}
}

// serveInference submits an inference call to the router. body is the uncompressed content of message.
func (s *stream) serveInference(message, body []byte) {
	routed, err := oip.Scan(body)
	if err != nil {
		s.completeRequest(grpc.Status{Code: grpc.InvalidArgument, Message: err.Error()}, nil)
		return
	}
	remaining := time.Duration(0)
	if s.timeout > 0 {
		remaining = max(s.timeout-time.Since(s.receivedAt), minTimeout)
	}
	call, err := s.server.cfg.CallBuilder.NewCall(routed, remaining)
	if err != nil {
		s.completeRequest(requestErrorStatus(err), nil)
		return
	}
	call.Request = &oip.Request{Message: message, Encoding: s.encoding, AcceptEncoding: s.acceptEncoding, Metadata: s.metadata}
	call.Streamed, call.Client = s.streaming(), s
	cancel, ok := s.server.router.Submit(call)
	if !ok {
		s.completeRequest(grpc.Status{Code: grpc.Unavailable, Message: "the gateway has stopped"}, nil)
		return
	}
	s.mu.Lock()
	ended := s.ended
	s.cancel = cancel
	s.mu.Unlock()
	if ended { // the client cancelled or the call ended before s.cancel was set; cancelling an ended call has no effect
		cancel()
	}
}

// requestErrorStatus returns the status for a request that can't become a call.
func requestErrorStatus(err error) grpc.Status {
	var requestErr *server.RequestError
	if errors.As(err, &requestErr) && requestErr.ModelNotFound {
		return grpc.Status{Code: grpc.NotFound, Message: err.Error()}
	}
	return grpc.Status{Code: grpc.InvalidArgument, Message: err.Error()}
}
