package grpcupstream

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	xhttp2 "golang.org/x/net/http2"
	grpcgo "google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// TestAllCallsAgainstGRPCGo sends every kind of call to a worker implemented with grpc-go, to check interoperability.
func TestAllCallsAgainstGRPCGo(t *testing.T) {
	addr := startGRPCGoWorker(t)
	r, dispatcher := newTestRouter(t, addr)
	client := submit(t, r, false, 10*time.Second)
	if ended := testsupport.Await(t, dispatcher.ended, "the outcome"); ended.Result != dispatch.OK || ended.LoadReport.InFlight != 4 {
		t.Errorf("unary: %+v", ended)
	}
	if st := testsupport.Await(t, client.status, "the answer"); st.Code != grpc.OK {
		t.Errorf("unary: %v", st)
	}
	client = submit(t, r, true, 10*time.Second)
	if ended := testsupport.Await(t, dispatcher.ended, "the outcome"); ended.Result != dispatch.OK || dispatcher.started != 1 {
		t.Errorf("streamed: %+v, started %d", ended, dispatcher.started)
	}
	var counter grpc.MessageCounter
	if err := counter.Add(client.bytes.Bytes()); err != nil || counter.Messages != 3 || client.starts != 1 {
		t.Errorf("streamed: %d messages, %v, started %d times", counter.Messages, err, client.starts)
	}
	pool := newTestPool(t, addr, Config{ConnectTimeout: time.Second})
	pool.Attach(r)
	loads, checks := make(chan router.LoadResult, 1), make(chan router.HealthResult, 1)
	pool.LoadFunction("w", "m", 1, router.SendLimits{Remaining: 10 * time.Second}, func(loaded router.LoadResult) { loads <- loaded })
	if loaded := testsupport.Await(t, loads, "the load result"); loaded.Result != dispatch.OK || loaded.Copies != 2 {
		t.Errorf("load command: %+v", loaded)
	}
	pool.CheckHealth("w", 10*time.Second, func(checked router.HealthResult) { checks <- checked })
	if checked := testsupport.Await(t, checks, "the health check result"); checked.Result != dispatch.OK || !checked.Ready || checked.Report.LoadReport.InFlight != 4 {
		t.Errorf("health check: %+v", checked)
	}
}

// serveWithGRPCGo handles the calls of a worker whose trailers report 4 requests in flight and 2 copies.
func serveWithGRPCGo(_ any, s grpcgo.ServerStream) error {
	method, _ := grpcgo.MethodFromServerStream(s)
	report := oip.NoLoadReport
	report.InFlight, report.Copies = 4, 2
	s.SetTrailer(metadata.Pairs(oip.LoadReportField, string(encodeReport(report))))
	switch method {
	case oip.Infer, oip.StreamInfer:
		var m inference.ModelInferRequest
		if err := s.RecvMsg(&m); err != nil {
			return err
		}
		if method == oip.Infer {
			return s.SendMsg(&inference.ModelInferResponse{ModelName: m.ModelName})
		}
		for range 3 {
			if err := s.SendMsg(&inference.ModelStreamInferResponse{InferResponse: &inference.ModelInferResponse{ModelName: m.ModelName}}); err != nil {
				return err
			}
		}
		return nil
	case oip.Load:
		var m inference.RepositoryModelLoadRequest
		if err := s.RecvMsg(&m); err != nil {
			return err
		}
		if m.Parameters[oip.ParamCopies].GetInt64Param() != 1 || m.ModelName != "m" {
			return status.Error(codes.InvalidArgument, "unexpected load command")
		}
		return s.SendMsg(&inference.RepositoryModelLoadResponse{})
	case oip.ServerReady:
		var m inference.ServerReadyRequest
		if err := s.RecvMsg(&m); err != nil {
			return err
		}
		return s.SendMsg(&inference.ServerReadyResponse{Ready: true})
	}
	return status.Error(codes.Unimplemented, method)
}

// encodeReport returns the serialized report without base64, since grpc-go itself encodes -bin fields.
func encodeReport(r oip.LoadReport) []byte {
	b, err := grpc.DecodeBinaryHeader(r.Trailer().Value)
	if err != nil {
		panic(err)
	}
	return b
}

// TestWorkerThatClosesAtOnceIsNotRedialled guards against endless redialling of a worker that accepts connections and
// closes them at once: each attempt must end, however long its deadline, after few connects.
func TestWorkerThatClosesAtOnceIsNotRedialled(t *testing.T) {
	var accepted atomic.Int32
	r, dispatcher := newTestRouter(t, testsupport.ServeConns(t, func(net.Conn) { accepted.Add(1) }))
	for range 10 {
		submit(t, r, false, time.Hour)
		if ended := testsupport.Await(t, dispatcher.ended, "the outcome"); ended.Result != dispatch.ConnectFailed && ended.Result != dispatch.ConnectionReset {
			t.Errorf("%v", ended.Result)
		}
	}
	if n := accepted.Load(); n > 20 {
		t.Errorf("%d connections for 10 attempts", n)
	}
}

// TestCloseEndsAllStreams checks that closing a pool ends all streams, including those on draining connections.
func TestCloseEndsAllStreams(t *testing.T) {
	for name, drain := range map[string]func(*testing.T, *testDispatcher, *Pool, *scriptedStream){
		"in use": func(*testing.T, *testDispatcher, *Pool, *scriptedStream) {},
		"worker drains": func(t *testing.T, dispatcher *testDispatcher, _ *Pool, s *scriptedStream) {
			_ = s.framer.WriteGoAway(s.id, xhttp2.ErrCodeNo, nil)
			_ = testsupport.Await(t, dispatcher.draining, "the drain")
		},
		"worker is removed": func(_ *testing.T, _ *testDispatcher, pool *Pool, _ *scriptedStream) {
			pool.UpdateEndpoints([]endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w", State: dispatch.EndpointRemoved}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan *scriptedStream, 1)
			r, dispatcher, pool := newTestRouterAndPool(t, startScriptedWorker(t, func(s *scriptedStream) { arrived <- s }), http2.Dial)
			_ = submit(t, r, false, time.Minute)
			drain(t, dispatcher, pool, testsupport.Await(t, arrived, "the request"))
			pool.Close()
			if ended := testsupport.Await(t, dispatcher.ended, "the outcome"); ended.Result != dispatch.ConnectionReset {
				t.Errorf("%+v", ended)
			}
		})
	}
}
