package grpcgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/config"
	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
)

// rig is a gateway before some workers, for one test.
type rig struct {
	t       *testing.T
	g       *Gateway
	workers []*fakeworker.Worker
	list    config.WorkerList
	file    string
	log     *invariants.Log
	conn    *grpc.ClientConn
}

// newRig starts so many workers and a gateway; change may alter the settings.
func newRig(t *testing.T, n int, change func(*config.Gateway), alter func(*fakeworker.Config)) *rig {
	t.Helper()
	r := &rig{t: t, file: filepath.Join(t.TempDir(), "workers.json"), log: invariants.NewLog()}
	cell, store := fakeworker.NewDeduplicator(), fakeworker.NewStore(200, 100)
	for i := range n {
		c := fakeworker.Config{ID: fmt.Sprintf("w%d", i), Cores: 8, Speed: 1, MemoryMB: 4000, QueueLength: 1000, ConcurrentLoads: 8,
			IdleResidency: 10 * time.Second, LoadsOnCacheMiss: true, AddsCopies: true, DeduplicationWindow: 5 * time.Second,
			DeduplicatedClasses: map[string]bool{"renew": true}, Store: store, Deduplicator: cell, Log: r.log, Seed: uint64(i),
			DefaultLoadTime: 20 * time.Millisecond, ReportsLoad: true,
			Models: map[string]fakeworker.Model{
				"quote": {Name: "quote", Class: "quote", MemoryMB: 100, ConcurrencyPerInstance: 4, LoadTime: 20 * time.Millisecond},
				"renew": {Name: "renew", Class: "renew", MemoryMB: 100, ConcurrencyPerInstance: 4, LoadTime: 20 * time.Millisecond},
				"award": {Name: "award", Class: "points", MemoryMB: 100, ConcurrencyPerInstance: 4, LoadTime: 20 * time.Millisecond}}}
		if alter != nil {
			alter(&c)
		}
		w, err := fakeworker.Start(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Kill)
		r.workers = append(r.workers, w)
		r.list.Workers = append(r.list.Workers, config.Worker{ID: w.ID(), Address: w.Addr(), Zone: "a", Kind: "box"})
	}
	r.publish()
	cfg := config.Defaults()
	cfg.Name, cfg.Listen, cfg.Seed = "r0", "127.0.0.1:0", 1
	cfg.Workers.File = r.file
	cfg.Classes = []config.Class{
		{Name: "quote", Aim: 1000, Deadline: 3000, Worth: 2, Effect: "safe"},
		{Name: "renew", Aim: 800, Deadline: 3000, Worth: 5, Effect: "keyed", Scope: "cell", Window: 5000},
		{Name: "points", Aim: 800, Deadline: 2500, Worth: 3, Effect: "unsafe"}}
	cfg.Models = map[string]config.Model{
		"quote": {Class: "quote", MemoryMB: 100, Lanes: 4, Load: 20, Work: 5},
		"renew": {Class: "renew", MemoryMB: 100, Lanes: 4, Load: 20, Work: 5},
		"award": {Class: "points", MemoryMB: 100, Lanes: 4, Load: 20, Work: 5}}
	cfg.Kinds = append(cfg.Kinds, struct {
		Name     string  `json:"name"`
		MemoryMB float64 `json:"memory_mb"`
	}{"box", 4000})
	if change != nil {
		change(&cfg)
	}
	g, err := Start(&cfg, Options{})
	if err != nil {
		t.Fatal(err)
	}
	r.g = g
	t.Cleanup(func() { g.Stop() })
	r.conn, err = grpc.NewClient(g.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64<<20), grpc.MaxCallSendMsgSize(64<<20)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.conn.Close() })
	return r
}

func (r *rig) publish() {
	r.t.Helper()
	if err := config.WriteWorkers(r.file, r.list); err != nil {
		r.t.Fatal(err)
	}
}

func number(n int64) *inference.InferParameter {
	return &inference.InferParameter{ParameterChoice: &inference.InferParameter_Int64Param{Int64Param: n}}
}

func text(s string) *inference.InferParameter {
	return &inference.InferParameter{ParameterChoice: &inference.InferParameter_StringParam{StringParam: s}}
}

// ask builds a request: so many messages of so many bytes, after so many milliseconds of work.
func ask(model, id string, work, messages, bytes int64) *inference.ModelInferRequest {
	return &inference.ModelInferRequest{ModelName: model, Id: id, Parameters: map[string]*inference.InferParameter{
		fakeworker.ParamWorkMS: number(work), fakeworker.ParamMessages: number(messages), fakeworker.ParamBytes: number(bytes),
		fakeworker.ParamRequest: text(id), oip.ParamKey: text(id)}}
}

func (r *rig) infer(ctx context.Context, m *inference.ModelInferRequest) (*inference.ModelInferResponse, error) {
	var out inference.ModelInferResponse
	err := r.conn.Invoke(ctx, oip.Infer, m, &out)
	return &out, err
}

// stream sends one request and reads the answer to its end.
func (r *rig) stream(ctx context.Context, m *inference.ModelInferRequest, each func(int)) (messages, bytes int, err error) {
	s, err := r.conn.NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, oip.StreamInfer)
	if err != nil {
		return 0, 0, err
	}
	if err := s.SendMsg(m); err != nil {
		return 0, 0, err
	}
	if err := s.CloseSend(); err != nil {
		return 0, 0, err
	}
	for {
		var out inference.ModelStreamInferResponse
		if err := s.RecvMsg(&out); errors.Is(err, io.EOF) {
			return messages, bytes, nil
		} else if err != nil {
			return messages, bytes, err
		}
		if got := out.InferResponse.Parameters["sequence"].GetInt64Param(); got != int64(messages) {
			return messages, bytes, fmt.Errorf("message %d came as number %d", got, messages)
		}
		messages++
		bytes += len(out.InferResponse.RawOutputContents[0])
		if each != nil {
			each(messages)
		}
	}
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestUnaryAndStreamedCallsFromAnotherClient(t *testing.T) {
	r := newRig(t, 2, nil, nil)
	out, err := r.infer(within(t, 5*time.Second), ask("quote", "c1", 5, 1, 10))
	if err != nil || out.ModelName != "quote" || out.Id != "c1" || len(out.RawOutputContents[0]) != 10 {
		t.Fatalf("unary: %v, %v", out, err)
	}
	n, bytes, err := r.stream(within(t, 5*time.Second), ask("quote", "c2", 20, 7, 1000), nil)
	if err != nil || n != 7 || bytes != 7000 {
		t.Fatalf("streamed: %d messages, %d bytes, %v", n, bytes, err)
	}
	if _, err := r.infer(within(t, 5*time.Second), ask("nobody", "c3", 5, 1, 10)); status.Code(err) != codes.NotFound {
		t.Fatalf("a model that is not served: %v", err)
	}
	var live inference.ServerLiveResponse
	if err := r.conn.Invoke(within(t, 5*time.Second), oip.ServerLive, &inference.ServerLiveRequest{}, &live); err != nil || !live.Live {
		t.Fatalf("live: %v, %v", live.Live, err)
	}
	if s := r.g.Router().Stats(); s.Served != 2 || s.Open != 0 {
		t.Fatalf("router counted %+v", s)
	}
}

func TestManyStreamsAtOnce(t *testing.T) {
	r := newRig(t, 4, nil, nil)
	var wg sync.WaitGroup
	errs := make(chan error, 200)
	for i := range 200 {
		wg.Go(func() {
			n, _, err := r.stream(within(t, 20*time.Second), ask("quote", fmt.Sprint("c", i), 10, 20, 500), nil)
			if err == nil && n != 20 {
				err = fmt.Errorf("%d messages", n)
			}
			errs <- err
		})
	}
	wg.Wait()
	close(errs)
	bad := 0
	for err := range errs {
		if err != nil && status.Code(err) != codes.Unavailable {
			t.Error(err)
		} else if err != nil {
			bad++
		}
	}
	if bad > 100 {
		t.Errorf("%d of 200 refused", bad)
	}
}

// TestEveryCallOfTheService has grpc-go's client make the calls that the gateway answers itself.
func TestEveryCallOfTheService(t *testing.T) {
	r := newRig(t, 1, nil, nil)
	for path, c := range map[string]struct {
		in, out proto.Message
		want    string
	}{
		oip.ServerLive:     {&inference.ServerLiveRequest{}, &inference.ServerLiveResponse{}, "live:true"},
		oip.ServerReady:    {&inference.ServerReadyRequest{}, &inference.ServerReadyResponse{}, "ready:true"},
		oip.ModelReady:     {&inference.ModelReadyRequest{Name: "quote"}, &inference.ModelReadyResponse{}, "ready:true"},
		oip.ServerMetadata: {&inference.ServerMetadataRequest{}, &inference.ServerMetadataResponse{}, `name:"topazfront"`},
		oip.ModelMetadata:  {&inference.ModelMetadataRequest{Name: "quote"}, &inference.ModelMetadataResponse{}, `name:"quote"`},
	} {
		if err := r.conn.Invoke(within(t, 5*time.Second), path, c.in, c.out); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		if got := strings.ReplaceAll(fmt.Sprint(c.out), " ", ""); !strings.Contains(got, c.want) {
			t.Errorf("%s: %s, want %s", path, got, c.want)
		}
	}
}
