// Package grpcserver is the front that speaks gRPC: the Open Inference Protocol's service over HTTP/2. It
// answers what concerns the gateway itself and hands inference calls to the router. One gRPC stream is one
// call, or, for ModelStreamInfer, one call for each request message, in order, each begun when the one before
// has been served. A stream ends at its first call that is not served; the requests behind it were not taken.
package grpcserver

import (
	"log/slog"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/server"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// Config is the front's share of the settings.
type Config struct {
	Address string
	HTTP2   http2.Config
	Intake  *server.Intake
	Version string
	Log     *slog.Logger
}

// Front serves one listener.
type Front struct {
	cfg    Config
	router *router.Router
	server *http2.Server

	mu       sync.Mutex
	open     map[*exchange]struct{}
	draining bool
}

// Listen opens the listener and serves it until Close.
func Listen(cfg Config, r *router.Router) (*Front, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	f := &Front{cfg: cfg, router: r, open: map[*exchange]struct{}{}}
	var err error
	f.server, err = http2.Listen("tcp", cfg.Address, cfg.HTTP2, func(*http2.Conn) http2.Handler { return link{f} })
	return f, err
}

// Addr is the address that the front listens on.
func (f *Front) Addr() string { return f.server.Addr().String() }

// Drain tells clients to go elsewhere: calls in hand go on, streams without one end.
func (f *Front) Drain() {
	f.server.Drain()
	f.mu.Lock()
	f.draining = true
	list := make([]*exchange, 0, len(f.open))
	for x := range f.open {
		list = append(list, x)
	}
	f.mu.Unlock()
	for _, x := range list {
		x.next(nil)
	}
}

// Conns tells how many clients are connected.
func (f *Front) Conns() int { return f.server.NumConns() }

// Streams tells how many streams are open, those whose last answer is still on its way included.
func (f *Front) Streams() int { return f.server.NumStreams() }

// Close ends the listener and all connections.
func (f *Front) Close() { f.server.Close() }

func (f *Front) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// link is the handler of one connection.
type link struct{ f *Front }

// Open implements http2.Handler.
func (l link) Open(s *http2.Stream) http2.Receiver {
	x := &exchange{f: l.f, s: s, reader: grpc.MessageReader{MaxSize: l.f.cfg.Intake.MaxBody}}
	l.f.mu.Lock()
	l.f.open[x] = struct{}{}
	l.f.mu.Unlock()
	return x
}

// GoAway implements http2.Handler.
func (l link) GoAway(*http2.Conn, http2.ErrCode) {}

// ConnClosed implements http2.Handler.
func (l link) ConnClosed(c *http2.Conn, err error) {
	l.f.cfg.Log.Debug("client connection ended", "client", c.RemoteAddr(), "reason", err)
}

// exchange is one gRPC stream: the receiver of its HTTP/2 stream and the client of its calls.
type exchange struct {
	f *Front
	s *http2.Stream

	mu       sync.Mutex
	path     string
	came     time.Time
	timeout  time.Duration // 0: none set
	encoding string
	accept   string
	metadata []hpack.Field
	reader   grpc.MessageReader
	message  []byte // a unary request that is whole
	pending  []byte // of a stream: bytes behind the request in hand, not consumed yet
	halfDone bool   // the client has sent all
	busy     bool   // a call is with the router
	begun    bool   // response headers are out
	over     bool
	drop     func()
	drain    func(int)
}

func (x *exchange) streamed() bool { return x.path == oip.StreamInfer }

// Headers implements http2.Receiver.
func (x *exchange) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if x.path != "" { // trailers of a request carry nothing for gRPC
		x.take(nil, end)
		return
	}
	x.came = time.Now()
	x.path, _ = grpc.FieldValue(fields, ":path")
	var bad *grpc.Status
	deny := func(code grpc.Code, text string) {
		if bad == nil {
			bad = &grpc.Status{Code: code, Message: text}
		}
	}
	for _, h := range fields {
		switch h.Name {
		case ":method":
			if h.Value != "POST" {
				deny(grpc.Unimplemented, "method "+h.Value)
			}
		case "content-type":
			if !grpc.IsContentType(h.Value) {
				x.over = true
				x.leave()
				_ = x.s.WriteHeaders([]hpack.Field{{Name: ":status", Value: "415"}}, true)
				return
			}
		case "grpc-timeout":
			d, err := grpc.ParseTimeout(h.Value)
			if err != nil {
				deny(grpc.Internal, err.Error())
			}
			x.timeout = max(d, 1)
		case "grpc-encoding":
			x.encoding = h.Value
			if !grpc.IsKnownEncoding(h.Value) {
				deny(grpc.Unimplemented, "grpc-encoding "+strconv.Quote(h.Value)+" is not known here")
			}
		case "grpc-accept-encoding":
			x.accept = h.Value
		default:
			if !grpc.IsReservedHeader(h.Name) {
				x.metadata = append(x.metadata, h)
			}
		}
	}
	switch x.path {
	case oip.Infer, oip.StreamInfer, oip.ServerLive, oip.ServerReady, oip.ModelReady, oip.ServerMetadata,
		oip.ModelMetadata:
	default:
		deny(grpc.Unimplemented, "no call "+x.path)
	}
	if bad != nil {
		x.reply(*bad, nil)
		return
	}
	if end {
		x.take(nil, true)
	}
}

// Data implements http2.Receiver.
func (x *exchange) Data(_ *http2.Stream, p []byte, end bool) { x.take(p, end) }

// take takes bytes of the request.
func (x *exchange) take(p []byte, end bool) {
	if x.streamed() {
		x.mu.Lock()
		x.halfDone = x.halfDone || end
		x.mu.Unlock()
		x.next(p)
		return
	}
	x.s.Consume(len(p))
	x.mu.Lock()
	if x.over || x.busy {
		x.mu.Unlock()
		return
	}
	for len(p) > 0 {
		m, rest, err := x.reader.Next(p)
		switch {
		case err != nil:
			x.mu.Unlock()
			x.reply(grpc.Status{Code: messageCode(err), Message: err.Error()}, nil)
			return
		case m != nil && x.message != nil:
			x.mu.Unlock()
			x.reply(grpc.Status{Code: grpc.Unimplemented, Message: "several request messages in a unary call"}, nil)
			return
		case m != nil:
			x.message = append([]byte(nil), m...)
		}
		p = rest
	}
	message, whole := x.message, x.message != nil && !x.reader.Partial()
	x.busy = end
	x.mu.Unlock()
	switch {
	case !end:
	case !whole:
		x.reply(grpc.Status{Code: grpc.Internal, Message: "the request ends without a whole message"}, nil)
	default:
		x.request(message)
	}
}

func messageCode(err error) grpc.Code {
	if err == grpc.ErrCompressedFlag {
		return grpc.Internal
	}
	return grpc.ResourceExhausted
}

// next goes on with a stream: the next request is begun when none is with the router. Bytes behind it stay
// unconsumed, so that the client's window bounds them.
func (x *exchange) next(p []byte) {
	x.mu.Lock()
	if x.over || !x.streamed() {
		x.mu.Unlock()
		x.s.Consume(len(p))
		return
	}
	if x.busy {
		x.pending = append(x.pending, p...)
		x.mu.Unlock()
		return
	}
	if len(x.pending) > 0 {
		p = append(x.pending, p...)
		x.pending = nil
	}
	m, rest, err := x.reader.Next(p)
	var message []byte
	if m != nil {
		message = append([]byte(nil), m...)
		x.pending = append([]byte(nil), rest...)
		x.busy = true
	}
	consumed := len(p) - len(rest)
	done := message == nil && x.halfDone
	cut := x.reader.Partial()
	x.mu.Unlock()
	x.s.Consume(consumed)
	switch {
	case err != nil:
		x.reply(grpc.Status{Code: messageCode(err), Message: err.Error()}, nil)
	case message != nil && x.f.isDraining():
		x.reply(grpc.Status{Code: grpc.Unavailable, Message: "the gateway is shutting down"}, nil)
	case message != nil:
		x.request(message)
	case done && cut:
		x.reply(grpc.Status{Code: grpc.Internal, Message: "the stream ends within a message"}, nil)
	case done:
		x.end(grpc.Status{}, nil)
	case x.f.isDraining():
		x.reply(grpc.Status{Code: grpc.Unavailable, Message: "the gateway is shutting down"}, nil)
	}
}

// request acts on one whole request message.
func (x *exchange) request(message []byte) {
	body, err := grpc.MessageBody(message, x.encoding, x.f.cfg.Intake.MaxBody)
	if err != nil {
		x.reply(grpc.Status{Code: grpc.InvalidArgument, Message: err.Error()}, nil)
		return
	}
	if x.path != oip.Infer && x.path != oip.StreamInfer {
		x.local(body)
		return
	}
	routed, err := oip.Scan(body)
	if err != nil {
		x.reply(grpc.Status{Code: grpc.InvalidArgument, Message: err.Error()}, nil)
		return
	}
	left := time.Duration(0)
	if x.timeout > 0 {
		left = max(x.timeout-time.Since(x.came), 1)
	}
	c, err := x.f.cfg.Intake.Call(routed, left)
	if err != nil {
		st := grpc.Status{Code: grpc.InvalidArgument, Message: err.Error()}
		if e, ok := err.(*server.Error); ok && e.Missing {
			st.Code = grpc.NotFound
		}
		x.reply(st, nil)
		return
	}
	c.Request = &oip.Request{Message: message, Encoding: x.encoding, Accept: x.accept, Metadata: x.metadata}
	c.Streamed, c.Client = x.streamed(), x
	drop, ok := x.f.router.Submit(c)
	if !ok {
		x.reply(grpc.Status{Code: grpc.Unavailable, Message: "the gateway has stopped"}, nil)
		return
	}
	x.mu.Lock()
	gone := x.over
	x.drop = drop
	x.mu.Unlock()
	if gone { // the client left meanwhile, or the answer is out already: drop of a call that ended does nothing
		drop()
	}
}

// local answers what concerns the gateway itself.
func (x *exchange) local(body []byte) {
	var out proto.Message
	in := x.f.cfg.Intake
	switch x.path {
	case oip.ServerLive:
		out = &inference.ServerLiveResponse{Live: true}
	case oip.ServerReady:
		out = &inference.ServerReadyResponse{Ready: !x.f.isDraining()}
	case oip.ServerMetadata:
		out = &inference.ServerMetadataResponse{Name: "topazfront", Version: x.f.cfg.Version,
			Extensions: []string{"model_repository"}}
	default:
		var m inference.ModelReadyRequest // ModelMetadataRequest has the same two fields
		if err := proto.Unmarshal(body, &m); err != nil {
			x.reply(grpc.Status{Code: grpc.InvalidArgument, Message: err.Error()}, nil)
			return
		}
		model, ok := in.Model(m.Name)
		if x.path == oip.ModelReady {
			out = &inference.ModelReadyResponse{Ready: ok}
			break
		}
		if !ok {
			x.reply(grpc.Status{Code: grpc.NotFound, Message: "model " + strconv.Quote(m.Name) + " is not served here"}, nil)
			return
		}
		out = &inference.ModelMetadataResponse{Name: m.Name, Versions: model.Versions, Platform: "topazfront"}
	}
	raw, err := proto.Marshal(out)
	if err != nil {
		x.reply(grpc.Status{Code: grpc.Internal, Message: err.Error()}, nil)
		return
	}
	x.Start(nil)
	x.Message(append(grpc.AppendPrefix(nil, len(raw), false), raw...), nil)
	x.reply(grpc.Status{}, nil)
}

// Start implements router.Client.
func (x *exchange) Start(head any) {
	metadata, _ := head.([]hpack.Field)
	x.mu.Lock()
	if x.begun || x.over {
		x.mu.Unlock()
		return
	}
	x.begun = true
	x.mu.Unlock()
	_ = x.s.WriteHeaders(append([]hpack.Field{{Name: ":status", Value: "200"},
		{Name: "content-type", Value: "application/grpc"}}, metadata...), false)
}

// Message implements router.Client.
func (x *exchange) Message(p []byte, drain func(int)) int {
	x.mu.Lock()
	x.drain = drain
	x.mu.Unlock()
	n, err := x.s.Write(p, false)
	if err != nil {
		return len(p) // nobody is left to take them
	}
	return n
}

// Sent implements http2.Receiver.
func (x *exchange) Sent(_ *http2.Stream, n int) {
	x.mu.Lock()
	drain := x.drain
	x.mu.Unlock()
	if drain != nil {
		drain(n)
	}
}

// Finish implements router.Client.
func (x *exchange) Finish(f router.FinalAnswer) { x.reply(Told(f)) }

// Told puts a final answer in gRPC's words: a status and trailers, with the advice on retries of gRFC A6.
func Told(f router.FinalAnswer) (grpc.Status, []hpack.Field) {
	const pushback = "grpc-retry-pushback-ms"
	tail := oip.Tail{}
	if f.Attempt != nil {
		tail, _ = f.Attempt.Trailer.(oip.Tail)
	}
	switch f.Kind {
	case router.FinalAnswered:
		return tail.Status, tail.Trailers
	case router.FinalRejected:
		return grpc.Status{Code: grpc.Unavailable, Message: "refused; trying again does no harm"},
			[]hpack.Field{{Name: pushback, Value: strconv.FormatInt(max(f.RetryAfter, 0).Milliseconds(), 10)}}
	}
	// The client is told not to repeat it by itself. What a worker last said is passed on where it says more.
	st := grpc.Status{Code: grpc.Unknown, Message: "no answer; the call may have run"}
	switch {
	case f.DeadlineExceeded:
		st = grpc.Status{Code: grpc.DeadlineExceeded, Message: "deadline exceeded; the call may have run"}
	case f.Attempt != nil && f.Attempt.Result == dispatch.Errored && tail.Status.Code != grpc.Unavailable &&
		tail.Status.Code != grpc.OK:
		st = tail.Status
	}
	return st, []hpack.Field{{Name: pushback, Value: "-1"}}
}

// reply ends a call. A served one of a stream makes room for the stream's next request.
func (x *exchange) reply(st grpc.Status, trailers []hpack.Field) {
	if st.Code != grpc.OK || !x.streamed() {
		x.end(st, trailers)
		return
	}
	x.mu.Lock()
	x.busy, x.drop = false, nil
	x.mu.Unlock()
	x.next(nil)
}

// end answers the stream.
func (x *exchange) end(st grpc.Status, trailers []hpack.Field) {
	x.mu.Lock()
	if x.over {
		x.mu.Unlock()
		return
	}
	x.over = true
	begun := x.begun
	x.mu.Unlock()
	x.leave()
	fields := append(st.Trailers(), trailers...)
	if begun {
		_ = x.s.WriteTrailers(fields)
		return
	}
	head := []hpack.Field{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}
	if st.Code == grpc.Unimplemented {
		head = append(head, hpack.Field{Name: "grpc-accept-encoding", Value: grpc.AcceptedEncodings})
	}
	_ = x.s.WriteHeaders(append(head, fields...), true)
}

// Closed implements http2.Receiver.
func (x *exchange) Closed(_ *http2.Stream, err error) {
	x.mu.Lock()
	was := x.over
	x.over = true
	drop := x.drop
	x.mu.Unlock()
	x.leave()
	if !was && drop != nil {
		drop()
	}
}

func (x *exchange) leave() {
	x.f.mu.Lock()
	delete(x.f.open, x)
	x.f.mu.Unlock()
}
