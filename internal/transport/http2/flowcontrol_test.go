package http2

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport"
)

// TestPeerExceedsStreamWindow guards against a peer that sends more than its stream's window.
func TestPeerExceedsStreamWindow(t *testing.T) {
	s, handler := startServer(t, Config{StreamWindow: 20000, ConnWindow: 100000})
	handler.mu.Lock()
	handler.withholdWindow = true
	handler.mu.Unlock()
	r := dialRawClient(t, s, true)
	r.writeHeaders(1, false, r.requestBlock())
	r.write(encodeFrame(frameData, 0, 1, make([]byte, 15000)...))
	r.write(encodeFrame(frameData, 0, 1, make([]byte, 15000)...))
	if code, goAway := r.readError(1); code != FlowControlError || goAway {
		t.Fatalf("error code %v (by GOAWAY: %v), want FLOW_CONTROL_ERROR by RST_STREAM", code, goAway)
	}
	checkServesOtherClient(t, s)
}

// TestEchoBodySizes echoes bodies of many sizes concurrently on one connection. Some are larger than the windows, the
// frames and the send buffers.
func TestEchoBodySizes(t *testing.T) {
	s, _ := startServer(t, Config{StreamWindow: 30000, ConnWindow: 80000, SendBufferSize: 20000})
	c, _ := dialServer(t, s, Config{StreamWindow: 40000, SendBufferSize: 10000})
	var wg sync.WaitGroup
	for i, n := range []int{0, 1, 16384, 16385, 65535, 65536, 200000, 1 << 20, 5 << 20} {
		body := bytes.Repeat([]byte{byte(i + 1)}, n)
		wg.Go(func() {
			r := newRecordingReceiver()
			if _, err := c.OpenStream(r, requestFields, body, true); err != nil {
				t.Error(err)
				return
			}
			if err := testsupport.Await(t, r.ended, "the end"); err != nil {
				t.Errorf("body of %d bytes: error %v", n, err)
			} else if !bytes.Equal(r.body.Bytes(), body) {
				t.Errorf("body of %d bytes echoed as %d bytes that differ", n, r.body.Len())
			}
		})
	}
	wg.Wait()
	if n := c.NumStreams(); n != 0 {
		t.Errorf("%d streams still open after all have ended", n)
	}
}

// TestSlowReaderBlocksOnlyItsStream checks that a stream whose receiver doesn't consume its data doesn't block the
// other streams of the connection.
func TestSlowReaderBlocksOnlyItsStream(t *testing.T) {
	s, _ := startServer(t, Config{StreamWindow: 64 << 10, ConnWindow: 128 << 10})
	c, _ := dialServer(t, s, Config{StreamWindow: 32 << 10})
	slow := newRecordingReceiver()
	slow.withholdWindow = true
	stream, err := c.OpenStream(slow, requestFields, make([]byte, 500<<10), true)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		r := newRecordingReceiver()
		if _, err := c.OpenStream(r, requestFields, make([]byte, 100<<10), true); err != nil {
			t.Fatal(err)
		}
		if err := testsupport.Await(t, r.ended, "another stream's end"); err != nil || r.body.Len() != 100<<10 {
			t.Fatalf("another stream: response of %d bytes, error %v", r.body.Len(), err)
		}
	}
	slow.mu.Lock()
	got := slow.body.Len()
	slow.mu.Unlock()
	if got > 32<<10 {
		t.Errorf("the slow stream received %d bytes, more than its window", got)
	}
	slow.mu.Lock()
	slow.withholdWindow = false
	slow.mu.Unlock()
	stream.Consume(got)
	if err := testsupport.Await(t, slow.ended, "the slow stream's end"); err != nil || slow.body.Len() != 500<<10 {
		t.Errorf("the slow stream ended with %d bytes, error %v", slow.body.Len(), err)
	}
}

// TestPeerNeverReadsPingAcks guards against unlimited memory for acknowledgements that a peer does not read.
func TestPeerNeverReadsPingAcks(t *testing.T) {
	s, _ := startServer(t, Config{MaxControlBytes: 64 << 10, GlitchBurst: 1e9, GlitchRate: 1, WriteTimeout: time.Second})
	r := dialRawClient(t, s, true)
	ping := bytes.Repeat(encodeFrame(framePing, 0, 0, make([]byte, 8)...), 1000)
	rejected := false
	for end := time.Now().Add(15 * time.Second); !rejected && time.Now().Before(end); {
		_, err := r.netConn.Write(ping)
		rejected = err != nil
	}
	if !rejected {
		t.Error("pings were accepted for 15 s from a peer that reads nothing")
	}
	checkServesOtherClient(t, s)
}
