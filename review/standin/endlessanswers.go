package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// endlessAnswers: two of twelve servers begin their answers with a length of 3 GB and keep sending, or (VARIANT=ids) send
// answers under unknown ids without end. The router must stay within its limit of memory.
func endlessAnswers(root, dir string, rec *record, trouble bool) error {
	peer := &endlessPeer{block: []byte(strings.Repeat("x", 64<<10)), head: "*4\r\n$16\r\n%s\r\n$2\r\nok\r\n$1\r\n-\r\n$3000000000\r\n"}
	if os.Getenv("VARIANT") == "ids" {
		peer.head = "%.0s"
		peer.block = []byte(strings.Repeat(encodeMessage("0123456789abcdef", "ok", "-", "x"), 1000))
	}
	if trouble {
		endless = peer
	}
	return playMemory(root, dir, rec, false, envInt("MEM", 64), 25*time.Second, []badClient{peer})
}

// endless, if not nil, answers the requests that come to the servers s-01 and s-02.
var endless *endlessPeer

type endlessPeer struct {
	head  string
	block []byte
	sent  atomic.Int64
}

func (e *endlessPeer) run(string, time.Time, <-chan struct{}) {}

func (e *endlessPeer) progress() string {
	return fmt.Sprintf("%d kB of answers sent", e.sent.Load()/1024)
}

// answer writes without end, until the router closes the connection or 3 GB have been written.
func (e *endlessPeer) answer(c net.Conn, id string) {
	_, err := fmt.Fprintf(c, e.head, id)
	for n := 0; err == nil && n < 3_000_000_000; {
		var k int
		k, err = c.Write(e.block)
		n += k
		e.sent.Add(int64(k))
	}
}

func envInt(name string, value int) int {
	var n int
	if _, err := fmt.Sscan(os.Getenv(name), &n); err == nil {
		return n
	}
	return value
}
