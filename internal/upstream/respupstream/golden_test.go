package respupstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invocation"
	"github.com/topazfront/topazfront/internal/router"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/golden"
)

// wireRecorder accepts connections and records the bytes of each message. It answers attempts, load commands and
// health checks, but no attempt with the body "silent".
func wireRecorder(t *testing.T) (addr string, messages <-chan string) {
	t.Helper()
	recorded := make(chan string, 8)
	addr = testsupport.ServeConns(t, func(nc net.Conn) {
		var raw bytes.Buffer
		for in := bufio.NewReader(io.TeeReader(nc, &raw)); ; raw.Reset() {
			m, err := fakeplatform.ReadMessage(in)
			if err != nil {
				return
			}
			recorded <- raw.String()
			switch {
			case m[0] == "load":
				_, _ = io.WriteString(nc, fakeplatform.EncodeMessage(m[1], "yes", "-", ""))
			case m[len(m)-1] != "silent" && m[0] != "drop":
				_, _ = io.WriteString(nc, fakeplatform.EncodeMessage(m[1], "ok", "slots_up=2", "answer"))
			}
		}
	})
	return addr, recorded
}

// TestGoldenMessagesOnTheSocket pins the bytes that each kind of message puts on the socket. The remaining deadline
// differs from run to run, so its seven digits are masked.
func TestGoldenMessagesOnTheSocket(t *testing.T) {
	addr, messages := wireRecorder(t)
	h := newHarness(t, func(config *Config) { config.MaxConns = 1 }, &scriptedDispatcher{attemptWorkers: []string{"w"}})
	h.endpoints = []endpoints.Worker{{Endpoint: dispatch.Endpoint{ID: "w"}, Address: addr}}
	h.router.SetEndpoints(h.endpoints)
	expect := func(what, want string) {
		t.Helper()
		got := golden.MaskTimeLeft(t, testsupport.Await(t, messages, what), "limit=", time.Hour)
		if got != want {
			t.Errorf("%s:\ngot  %q\nwant %q", what, got, want)
		}
	}
	submit := func(id, class, function, key, body string) (testClient, func()) {
		client := make(testClient, 1)
		cancel, ok := h.router.Submit(&router.Call{Function: function, Class: class, RemainingDeadline: time.Hour, Client: client,
			Request: &invocation.Request{ID: id, Class: class, Function: function, IdempotencyKey: key, Body: []byte(body)}})
		if !ok {
			t.Fatal("the router did not accept the request")
		}
		return client, func() { cancel() }
	}

	client, _ := submit("00000000000000a1", "renew", testFunction, "k-1", "a\r\nbody")
	expect("an attempt", "*4\r\n$4\r\nexec\r\n$16\r\n00000000000000a1\r\n"+
		"$55\r\ncls=renew,item=7f3a9c21e0b4d655,limit=#######,nonce=k-1\r\n$7\r\na\r\nbody\r\n")
	testsupport.Await(t, client, "the answer")

	loaded := make(chan router.LoadResult, 1)
	h.pool.LoadFunction("w", testFunction, 2, router.SendLimits{Remaining: 15 * time.Second}, func(r router.LoadResult) { loaded <- r })
	expect("a load command", "*3\r\n$6\r\nensure\r\n$2\r\nq1\r\n$32\r\nitem=7f3a9c21e0b4d655,slots_up=2\r\n")
	if r := testsupport.Await(t, loaded, "the load result"); r.Result != dispatch.OK || r.Copies != 2 {
		t.Errorf("load result %+v", r)
	}

	checked := make(chan router.HealthResult, 1)
	h.pool.CheckHealth("w", 15*time.Second, func(r router.HealthResult) { checked <- r })
	expect("a health check", "*2\r\n$4\r\nload\r\n$2\r\nq2\r\n")
	if r := testsupport.Await(t, checked, "the health result"); r.Result != dispatch.OK || !r.Ready {
		t.Errorf("health result %+v", r)
	}

	_, cancel := submit("00000000000000a2", "c", testFunction, "", "silent")
	expect("an attempt without a key", "*4\r\n$4\r\nexec\r\n$16\r\n00000000000000a2\r\n"+
		"$41\r\ncls=c,item=7f3a9c21e0b4d655,limit=#######\r\n$6\r\nsilent\r\n")
	cancel()
	expect("a cancellation", "*2\r\n$4\r\ndrop\r\n$16\r\n00000000000000a2\r\n")
}

// TestGoldenAttemptLimits pins the limit in an attempt: whole milliseconds, rounded down, and at least 1.
func TestGoldenAttemptLimits(t *testing.T) {
	r := &invocation.Request{ID: "00000000000000a1", Class: "c", Function: "f", Body: []byte{}}
	for name, test := range map[string]struct {
		remaining time.Duration
		want      string
	}{
		"rounded down":             {1500*time.Millisecond + 999*time.Microsecond, "$23\r\ncls=c,item=f,limit=1500"},
		"less than a millisecond":  {999 * time.Microsecond, "$20\r\ncls=c,item=f,limit=1"},
		"past the call's deadline": {-time.Second, "$20\r\ncls=c,item=f,limit=1"},
	} {
		t.Run(name, func(t *testing.T) {
			want := "*4\r\n$4\r\nexec\r\n$16\r\n00000000000000a1\r\n" + test.want + "\r\n$0\r\n\r\n"
			if got := string(encodeAttempt(r, test.remaining)); got != want {
				t.Errorf("remaining %v:\ngot  %q\nwant %q", test.remaining, got, want)
			}
		})
	}
}
