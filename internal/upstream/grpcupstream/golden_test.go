package grpcupstream

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	xhttp2 "golang.org/x/net/http2"
	xhpack "golang.org/x/net/http2/hpack"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/golden"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// requestRecorder starts a worker that sends each request it receives to a channel, as one line for each header field
// and one for the data. It refuses the first attempt of a request with the metadata "x-test: refuse once". It answers
// no request.
func requestRecorder(t *testing.T) (addr string, requests <-chan string) {
	t.Helper()
	recorded := make(chan string, 8)
	return testsupport.ServeConns(t, func(nc net.Conn) { recordRequests(nc, recorded) }), recorded
}

func recordRequests(nc net.Conn, recorded chan<- string) {
	_, _ = io.ReadFull(nc, make([]byte, len(xhttp2.ClientPreface)))
	fr := xhttp2.NewFramer(nc, nc)
	fr.ReadMetaHeaders = xhpack.NewDecoder(4096, nil)
	_ = fr.WriteSettings()
	head, data := map[uint32]string{}, map[uint32]string{}
	for {
		f, err := fr.ReadFrame()
		if err != nil {
			return
		}
		id := f.Header().StreamID
		switch f := f.(type) {
		case *xhttp2.MetaHeadersFrame:
			for _, field := range f.Fields {
				head[id] += field.Name + ": " + field.Value + "\n"
			}
		case *xhttp2.DataFrame:
			data[id] += string(f.Data())
			if f.StreamEnded() {
				recorded <- head[id] + fmt.Sprintf("%q", data[id])
				if strings.Contains(head[id], "x-test: refuse once") && strings.Contains(head[id], "grpc-previous-rpc-attempts: 0") {
					_ = fr.WriteRSTStream(id, xhttp2.ErrCodeRefusedStream)
				}
			}
		}
	}
}

// TestGoldenRequestsToAWorker compares the header fields, in their order, and the data of each kind of request to a
// worker. The remaining deadline differs from run to run; of it only the format is compared, seven digits of
// milliseconds.
func TestGoldenRequestsToAWorker(t *testing.T) {
	addr, requests := requestRecorder(t)
	r, dispatcher := newTestRouter(t, addr)
	dispatcher.retries = 1
	expect := func(what, method string, lines ...string) {
		t.Helper()
		got := golden.MaskTimeLeft(t, testsupport.Await(t, requests, what), "\ngrpc-timeout: ", time.Hour)
		want := ":method: POST\n:scheme: http\n:path: /inference.GRPCInferenceService/" + method + "\n:authority: worker\n" +
			"te: trailers\ncontent-type: application/grpc\ngrpc-timeout: #######m\ntopazfront-router: r\n" + strings.Join(lines, "\n")
		if got != want {
			t.Errorf("%s:\ngot\n%s\nwant\n%s", what, got, want)
		}
	}
	submit := func(streamed bool, req *oip.Request) {
		if _, ok := r.Submit(&router.Call{Function: "m", Class: "c", RemainingDeadline: time.Hour, Streamed: streamed,
			Request: req, Client: newTestClient()}); !ok {
			t.Fatal("the router did not accept the request")
		}
	}

	submit(false, &oip.Request{Message: testMessage(), Encoding: "gzip", AcceptEncoding: "gzip,identity",
		Metadata: []hpack.Field{{Name: "x-own", Value: "kept"}, {Name: "x-own-bin", Value: "AAE"}}})
	expect("an attempt", "ModelInfer",
		"grpc-previous-rpc-attempts: 0", "grpc-encoding: gzip", "grpc-accept-encoding: gzip,identity", "x-own: kept", "x-own-bin: AAE", `"\x00\x00\x00\x00\x03\n\x01m"`)
	submit(true, &oip.Request{Message: testMessage()})
	expect("an attempt of a streamed call", "ModelStreamInfer",
		"grpc-previous-rpc-attempts: 0", `"\x00\x00\x00\x00\x03\n\x01m"`)
	submit(false, &oip.Request{Message: testMessage(), Metadata: []hpack.Field{{Name: "x-test", Value: "refuse once"}}})
	expect("an attempt that is refused", "ModelInfer",
		"grpc-previous-rpc-attempts: 0", "x-test: refuse once", `"\x00\x00\x00\x00\x03\n\x01m"`)
	expect("its retry", "ModelInfer",
		"grpc-previous-rpc-attempts: 1", "x-test: refuse once", `"\x00\x00\x00\x00\x03\n\x01m"`)

	pool := newTestPool(t, addr, Config{ConnectTimeout: time.Second})
	pool.Attach(r)
	pool.LoadFunction("w", "m", 3, router.SendLimits{Remaining: time.Hour}, func(router.LoadResult) {})
	expect("a load command", "RepositoryModelLoad",
		`"\x00\x00\x00\x00\x11\x12\x01m\x1a\f\n\x06copies\x12\x02\x10\x03"`)
	pool.CheckHealth("w", time.Hour, func(router.HealthResult) {})
	expect("a health check", "ServerReady",
		`"\x00\x00\x00\x00\x00"`)
}
