package grpcupstream

import (
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/oip"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/http2"
)

// TestTimeoutCountsTheWaitForAConnection checks that the grpc-timeout of a call that waited for a connection is the
// time remaining when its stream is opened, not when it began to wait.
func TestTimeoutCountsTheWaitForAConnection(t *testing.T) {
	const limit, waited = time.Hour, 100 * time.Millisecond
	for name, newCall := range map[string]func(*Pool, time.Time) (call outgoingCall, end func()){
		"attempt": func(pool *Pool, deadline time.Time) (outgoingCall, func()) {
			a := &attempt{pool: pool, request: &oip.Request{Message: testMessage()}, deadline: deadline}
			return a, func() { setEnded(&a.mu, &a.ended) }
		},
		"control call": func(pool *Pool, deadline time.Time) (outgoingCall, func()) {
			cc := &controlCall{pool: pool, path: oip.ServerReady, body: grpc.AppendPrefix(nil, 0, false), deadline: deadline}
			return cc, func() { setEnded(&cc.mu, &cc.ended) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, requests := requestRecorder(t)
			call, end := newCall(New(Config{RouterName: "r"}), time.Now().Add(limit))
			time.Sleep(waited) // as if waiting for a dial
			conn, err := http2.Dial("tcp", addr, 5*time.Second, http2.Config{}, &connHandler{pool: New(Config{}), worker: &worker{}})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				end() // so that closing the connection reports no result, as there is no router
				conn.Close()
			})
			if err := call.openStream(conn); err != nil {
				t.Fatal(err)
			}
			field := regexp.MustCompile("grpc-timeout: ([0-9]+[a-zA-Z])").FindStringSubmatch(testsupport.Await(t, requests, "the request"))
			if field == nil {
				t.Fatal("no grpc-timeout")
			}
			if sent, err := grpc.ParseTimeout(field[1]); err != nil || sent > limit-waited || sent <= 0 {
				t.Errorf("%v of %v after %v, %v", sent, limit, waited, err)
			}
		})
	}
}

func setEnded(mu *sync.Mutex, ended *bool) {
	mu.Lock()
	defer mu.Unlock()
	*ended = true
}
