package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

type callCmd struct {
	Address string            `required:"" help:"host:port of a gateway, or of any server of the Open Inference Protocol."`
	Model   string            `required:"" help:"Model to call."`
	Version string            `help:"Version of the model."`
	ID      string            `help:"Identifier of the request." default:"call"`
	Stream  bool              `help:"Request a streamed response (ModelStreamInfer)."`
	Timeout time.Duration     `default:"5s" help:"Timeout of the call."`
	Param   map[string]string `help:"Request parameters, as name=value; numbers are sent as numbers."`
	Request string            `type:"existingfile" help:"File with a complete ModelInferRequest as JSON; the other flags take precedence."`
}

// responseGrace is how long the call waits for the response after the deadline that it sent to the gateway.
const responseGrace = time.Second

// maxMessageSize is the size limit of a response message in bytes.
const maxMessageSize = 1 << 30

// Run makes the call and returns when the response has ended.
func (c callCmd) Run(ctx context.Context) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	raw, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	path := oip.Infer
	if c.Stream {
		path = oip.StreamInfer
	}
	p := &answerPrinter{stream: c.Stream, reader: grpc.MessageReader{MaxSize: maxMessageSize}, done: make(chan error, 1)}
	conn, err := http2.Dial("tcp", c.Address, c.Timeout, http2.Config{}, p)
	if err != nil {
		return err
	}
	defer conn.Close()
	headers := append(grpc.RequestHeaders(c.Address, path, c.Timeout),
		hpack.Field{Name: "grpc-accept-encoding", Value: grpc.AcceptedEncodings})
	body := append(grpc.AppendPrefix(nil, len(raw), false), raw...)
	stream, err := conn.OpenStream(p, headers, body, true)
	if err != nil {
		return err
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		stream.Reset(http2.Cancel)
		return ctx.Err()
	case <-time.After(c.Timeout + responseGrace):
		stream.Reset(http2.Cancel)
		return errors.New("no response before the timeout")
	}
}

// request returns the request message: that of the request file, if there is one, with the values of the flags in place
// of those in the file.
func (c callCmd) request() (*inference.ModelInferRequest, error) {
	m := &inference.ModelInferRequest{}
	if c.Request != "" {
		raw, err := os.ReadFile(c.Request)
		if err != nil {
			return nil, err
		}
		if err := protojson.Unmarshal(raw, m); err != nil {
			return nil, fmt.Errorf("%s: %w", c.Request, err)
		}
	}
	m.ModelName, m.ModelVersion, m.Id = c.Model, c.Version, c.ID
	if m.Parameters == nil {
		m.Parameters = map[string]*inference.InferParameter{}
	}
	for name, value := range c.Param {
		m.Parameters[name] = parameter(value)
	}
	return m, nil
}

func parameter(value string) *inference.InferParameter {
	if number, err := strconv.ParseFloat(value, 64); err == nil {
		return &inference.InferParameter{ParameterChoice: &inference.InferParameter_DoubleParam{DoubleParam: number}}
	}
	return &inference.InferParameter{ParameterChoice: &inference.InferParameter_StringParam{StringParam: value}}
}

// answerPrinter prints the messages of a response as they arrive. The reading goroutine of the connection calls it.
type answerPrinter struct {
	stream   bool
	reader   grpc.MessageReader
	encoding string
	done     chan error // receives the result of the call, once
	once     sync.Once
}

func (p *answerPrinter) finish(err error) { p.once.Do(func() { p.done <- err }) }

// StreamOpened implements http2.Handler.
func (p *answerPrinter) StreamOpened(*http2.Stream) http2.Receiver { return nil }

// GoAway implements http2.Handler.
func (p *answerPrinter) GoAway(*http2.Conn, http2.ErrCode) {}

// ConnClosed implements http2.Handler.
func (p *answerPrinter) ConnClosed(_ *http2.Conn, err error) { p.finish(err) }

// Headers implements http2.Receiver.
func (p *answerPrinter) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if !end {
		p.encoding, _ = grpc.FieldValue(fields, "grpc-encoding")
		return
	}
	status := grpc.StatusFromTrailers(fields)
	if status.Code == grpc.OK {
		p.finish(nil)
		return
	}
	if ms, ok := grpc.FieldValue(fields, "grpc-retry-pushback-ms"); ok && status.Code == grpc.Unavailable {
		status.Message += "; retry after " + ms + " ms"
	}
	p.finish(status)
}

// Data implements http2.Receiver.
func (p *answerPrinter) Data(s *http2.Stream, b []byte, _ bool) {
	s.Consume(len(b))
	for len(b) > 0 {
		m, rest, err := p.reader.Next(b)
		if err != nil {
			p.finish(err)
			return
		}
		if m != nil {
			p.print(m)
		}
		b = rest
	}
}

func (p *answerPrinter) print(m []byte) {
	body, err := grpc.MessageBody(m, p.encoding, maxMessageSize)
	var out proto.Message = &inference.ModelInferResponse{}
	if p.stream {
		out = &inference.ModelStreamInferResponse{}
	}
	if err == nil {
		err = proto.Unmarshal(body, out)
	}
	if err != nil {
		p.finish(err)
		return
	}
	raw, err := protojson.Marshal(out)
	if err != nil {
		p.finish(err)
		return
	}
	fmt.Println(string(raw))
}

// Sent implements http2.Receiver.
func (p *answerPrinter) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (p *answerPrinter) Closed(_ *http2.Stream, err error) {
	if err != nil {
		p.finish(err)
	}
}
