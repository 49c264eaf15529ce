package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

type callCmd struct {
	Address string            `required:"" help:"host:port of a gateway, or of any server of the Open Inference Protocol."`
	Model   string            `required:"" help:"Model to call."`
	Version string            `help:"Its version."`
	ID      string            `help:"Identifier of the request." default:"call"`
	Stream  bool              `help:"Ask for a streamed answer (ModelStreamInfer)."`
	Timeout time.Duration     `default:"5s" help:"Give up after this long."`
	Param   map[string]string `help:"Request parameters, as name=value; numbers are sent as numbers."`
	Request string            `type:"existingfile" help:"A whole ModelInferRequest as JSON; the flags above go over it."`
}

func (c callCmd) Run(ctx context.Context) error {
	m := &inference.ModelInferRequest{}
	if c.Request != "" {
		raw, err := os.ReadFile(c.Request)
		if err != nil {
			return err
		}
		if err := protojson.Unmarshal(raw, m); err != nil {
			return fmt.Errorf("%s: %w", c.Request, err)
		}
	}
	m.ModelName, m.ModelVersion, m.Id = c.Model, c.Version, c.ID
	if m.Parameters == nil {
		m.Parameters = map[string]*inference.InferParameter{}
	}
	for k, v := range c.Param {
		if f, err := strconv.ParseFloat(v, 64); err == nil {
			m.Parameters[k] = &inference.InferParameter{ParameterChoice: &inference.InferParameter_DoubleParam{DoubleParam: f}}
		} else {
			m.Parameters[k] = &inference.InferParameter{ParameterChoice: &inference.InferParameter_StringParam{StringParam: v}}
		}
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	path := oip.Infer
	if c.Stream {
		path = oip.StreamInfer
	}
	p := &printer{stream: c.Stream, reader: grpc.MessageReader{MaxSize: 1 << 30}, done: make(chan error, 1)}
	conn, err := http2.Dial("tcp", c.Address, c.Timeout, http2.Config{}, p)
	if err != nil {
		return err
	}
	defer conn.Close()
	s, err := conn.Open(p, append(grpc.RequestHeaders(c.Address, path, c.Timeout),
		hpack.Field{Name: "grpc-accept-encoding", Value: grpc.AcceptedEncodings}),
		append(grpc.AppendPrefix(nil, len(raw), false), raw...), true)
	if err != nil {
		return err
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		s.Reset(http2.Cancel)
		return ctx.Err()
	case <-time.After(c.Timeout + time.Second):
		s.Reset(http2.Cancel)
		return errors.New("no answer in time")
	}
}

// printer prints an answer as it comes.
type printer struct {
	stream   bool
	reader   grpc.MessageReader
	encoding string
	done     chan error
	once     sync.Once
}

func (p *printer) end(err error) { p.once.Do(func() { p.done <- err }) }

// Open implements http2.Handler.
func (p *printer) Open(*http2.Stream) http2.Receiver { return nil }

// GoAway implements http2.Handler.
func (p *printer) GoAway(*http2.Conn, http2.ErrCode) {}

// ConnClosed implements http2.Handler.
func (p *printer) ConnClosed(_ *http2.Conn, err error) { p.end(err) }

// Headers implements http2.Receiver.
func (p *printer) Headers(_ *http2.Stream, fields []hpack.Field, end bool) {
	if !end {
		p.encoding, _ = grpc.FieldValue(fields, "grpc-encoding")
		return
	}
	st := grpc.StatusFromTrailers(fields)
	if st.Code == grpc.OK {
		p.end(nil)
		return
	}
	if ms, ok := grpc.FieldValue(fields, "grpc-retry-pushback-ms"); ok && st.Code == grpc.Unavailable {
		st.Message += "; come back in " + ms + " ms"
	}
	p.end(st)
}

// Data implements http2.Receiver.
func (p *printer) Data(s *http2.Stream, b []byte, _ bool) {
	s.Consume(len(b))
	for len(b) > 0 {
		m, rest, err := p.reader.Next(b)
		if err != nil {
			p.end(err)
			return
		}
		if m != nil {
			p.print(m)
		}
		b = rest
	}
}

func (p *printer) print(m []byte) {
	body, err := grpc.MessageBody(m, p.encoding, 1<<30)
	var out proto.Message = &inference.ModelInferResponse{}
	if p.stream {
		out = &inference.ModelStreamInferResponse{}
	}
	if err == nil {
		err = proto.Unmarshal(body, out)
	}
	if err != nil {
		p.end(err)
		return
	}
	raw, err := protojson.Marshal(out)
	if err != nil {
		p.end(err)
		return
	}
	fmt.Println(string(raw))
}

// Sent implements http2.Receiver.
func (p *printer) Sent(*http2.Stream, int) {}

// Closed implements http2.Receiver.
func (p *printer) Closed(_ *http2.Stream, err error) {
	if err != nil {
		p.end(err)
	}
}

type standinCmd struct {
	Workers int      `default:"3" help:"How many."`
	Dir     string   `default:"." type:"existingdir" help:"Where the list of workers and a gateway's settings are written."`
	Model   []string `default:"quote,award" help:"Models that they know."`
	Listen  string   `default:"127.0.0.1:9000" help:"Address that the written settings give the gateway."`
}

func (c standinCmd) Run(ctx context.Context) error {
	store, cell := fakeworker.NewStore(50, 100), fakeworker.NewCell()
	var list config.WorkerList
	models := map[string]fakeworker.Model{}
	for _, m := range c.Model {
		models[m] = fakeworker.Model{Name: m, Class: "quote", MemoryMB: 200, Lanes: 2, Load: 300 * time.Millisecond}
	}
	for i := range c.Workers {
		w, err := fakeworker.Start(fakeworker.Config{ID: fmt.Sprintf("w%d", i), Cores: 4, Speed: 1, MemoryMB: 4000, Queue: 100,
			LoadsAtOnce: 4, IdleKeep: 10 * time.Second, LoadsOnMiss: true, GrowsCopies: true, Store: store, Cell: cell,
			Seed: uint64(i), Models: models, ServerMetrics: true, DefaultLoad: 300 * time.Millisecond})
		if err != nil {
			return err
		}
		defer w.Kill()
		list.Workers = append(list.Workers, config.Worker{ID: w.ID(), Address: w.Addr(), Kind: "box", State: "on"})
		fmt.Printf("worker %s on %s, models %s\n", w.ID(), w.Addr(), strings.Join(c.Model, ", "))
	}
	if err := config.WriteWorkers(filepath.Join(c.Dir, "workers.json"), list); err != nil {
		return err
	}
	settings := map[string]any{"listen": c.Listen, "workers": map[string]any{"file": "workers.json"},
		"kinds":         []any{map[string]any{"name": "box", "memory_mb": 4000}},
		"classes":       []any{map[string]any{"name": "quote", "aim_ms": 1000, "deadline_ms": 3000, "worth": 1, "effect": "safe"}},
		"default_model": map[string]any{"class": "quote", "memory_mb": 200, "lanes": 2, "load_ms": 300}}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(c.Dir, "gateway.json")
	if err := os.WriteFile(file, append(raw, '\n'), 0o644); err != nil {
		return err
	}
	fmt.Printf("now: topazfront serve --config %s\nthen: topazfront call --address %s --model %s --stream --param %s=5\n",
		file, c.Listen, c.Model[0], fakeworker.ParamMessages)
	<-ctx.Done()
	return nil
}
