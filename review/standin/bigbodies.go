package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// bigBodySender sends bodies of 60 MB.
type bigBodySender struct {
	chunked, noLength, pipeline bool
	sent, closed                atomic.Int64
}

func (e *bigBodySender) progress() string {
	return fmt.Sprintf("%d kB sent, closed %d times", e.sent.Load()/1024, e.closed.Load())
}

func (e *bigBodySender) run(addr string, end time.Time, stop <-chan struct{}) {
	block := []byte(strings.Repeat("x", 64<<10))
	for time.Now().Before(end) && !isClosed(stop) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		head := fmt.Sprintf("POST /call/%s/call HTTP/1.1\r\nHost: service.internal\r\nX-Class: quote\r\nX-Correlation-Id: %s\r\n"+
			"X-Deadline-Ms: 1500\r\nContent-Length: 60000000\r\n\r\n", "f"+randomHex(16)[1:], randomHex(16))
		switch {
		case e.chunked:
			head = strings.Replace(head, "Content-Length: 60000000", "Transfer-Encoding: chunked", 1)
			block = []byte(strings.Repeat("1\r\nx\r\n", 10<<10))
		case e.noLength:
			head = ""
		case e.pipeline:
			head = strings.Replace(head, "Content-Length: 60000000", "Content-Length: 0", 1)
			block = []byte(strings.Repeat("GET /ping HTTP/1.1\r\nHost: a\r\n\r\n", 2<<10))
		}
		_ = conn.SetWriteDeadline(time.Now().Add(6 * time.Second))
		_, _ = io.WriteString(conn, head)
		for n := 0; n < 60_000_000 && !isClosed(stop); {
			k, err := conn.Write(block)
			e.sent.Add(int64(k))
			n += k
			if err != nil {
				e.closed.Add(1)
				break
			}
		}
		_ = conn.Close()
	}
}

// bigBodies: 20 bad clients send bodies of 60 MB, of a kind that VARIANT chooses. The router must stay within its limit of
// memory.
func bigBodies(root, dir string, rec *record, trouble bool) error {
	var bad []badClient
	variant := os.Getenv("VARIANT")
	one := &bigBodySender{chunked: variant == "chunked", noLength: variant == "nolength", pipeline: variant == "pipeline"}
	for range 20 {
		bad = append(bad, one)
	}
	return playMemory(root, dir, rec, trouble, 192, 25*time.Second, bad)
}
