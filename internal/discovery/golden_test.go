package discovery

import (
	"bytes"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/endpoints"
	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/testsupport/golden"
	"github.com/topazfront/topazfront/internal/wallclock"
)

// TestGoldenPollRequest compares the bytes of a long poll with a golden file. The protocol has no separate
// acknowledgement: the revision in the next request serves as one.
func TestGoldenPollRequest(t *testing.T) {
	listener := testsupport.Listen(t)
	request := make(chan []byte, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var got []byte
		for part := make([]byte, 1024); !bytes.HasSuffix(got, []byte("\r\n\r\n")); {
			n, err := conn.Read(part)
			if err != nil {
				break
			}
			got = append(got, part[:n]...)
		}
		request <- got
	}()
	watcher, err := Start(Config{Address: listener.Addr().String(), ConnectTimeout: 5 * time.Second,
		PollWait: 1500 * time.Millisecond, ResponseGrace: time.Second, MaxRetryDelay: time.Second, MaxResponseBytes: 1 << 16,
		RouterClock: zeroClock{}, OnUpdate: func(endpoints.Update) {},
	}, parseResponse(t, `{"cursor":41,"cmds":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	defer watcher.Close()
	got := testsupport.Await(t, request, "the poll")
	golden.Compare(t, "poll_request.http", bytes.ReplaceAll(got, []byte(listener.Addr().String()), []byte("ADDRESS")))
}

// TestGoldenEvents compares the endpoint list after one event of each kind with a golden file.
func TestGoldenEvents(t *testing.T) {
	input, err := os.ReadFile("testdata/golden/events.json")
	if err != nil {
		t.Fatal(err)
	}
	log, list := &eventLog{}, endpointList{}
	routerTime := func(_ string, startedAt wallclock.Time) time.Duration { return time.Duration(startedAt.UnixMilli()) }
	update, err := log.Apply(parseResponse(t, string(input)), routerTime)
	if err != nil {
		t.Fatal(err)
	}
	list.apply(update)
	text := strconv.FormatInt(log.revision, 10) + "\n"
	for _, worker := range list.workers() {
		text += golden.PlainValue(worker) + "\n"
	}
	golden.Compare(t, "events.txt", []byte(text))
}
