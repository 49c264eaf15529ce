package http1

import (
	"runtime"
	"strings"
	"testing"
)

// TestEmptyLinesEndAtHeaderLimit guards against a client that sends empty lines without end: they were skipped for ever,
// so that the connection was neither served nor closed.
func TestEmptyLinesEndAtHeaderLimit(t *testing.T) {
	atLimit := strings.Repeat("\r\n", testLimits.Head/2)
	for name, c := range map[string]struct {
		pieces   []string
		messages int
		status   int
	}{
		"up to the limit":                  {[]string{atLimit, postMessage}, 1, 0},
		"beyond the limit":                 {[]string{atLimit, "\r\n", postMessage}, 0, StatusHeaderFieldsTooLarge},
		"one at a time":                    {strings.SplitAfter(atLimit+"\r\n", "\n"), 0, StatusHeaderFieldsTooLarge},
		"beyond the limit after a request": {[]string{postMessage + atLimit, "\r\n"}, 1, StatusHeaderFieldsTooLarge},
		"counted anew for each request":    {[]string{atLimit, postMessage, atLimit, postMessage, atLimit}, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			messages, status := readStatus(false, c.pieces...)
			if len(messages) != c.messages || status != c.status {
				t.Errorf("%d messages and status %d, want %d and %d", len(messages), status, c.messages, c.status)
			}
		})
	}
}

// TestSmallPartsAreNotCopiedRepeatedly guards against a reader that copies its buffer for each empty line, message or
// chunk in it, so that handling the input takes longer than sending it.
func TestSmallPartsAreNotCopiedRepeatedly(t *testing.T) {
	const head = 64 << 10
	limits := Limits{Head: head, Fields: 16, Body: 64, Pending: head}
	ping := "GET /ping HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, input := range map[string]string{
		"empty lines": strings.Repeat("\r\n", head/2),
		"requests":    strings.Repeat(ping, head/len(ping)),
	} {
		t.Run(name, func(t *testing.T) {
			allocated := allocatedBytes(func() { readAll(t, NewReader(limits), input) })
			const factor = 32 // bytes allocated for each byte of input; the heads of the requests take most
			if allocated > uint64(factor*len(input)) {
				t.Errorf("%d bytes of input allocate %d bytes, want at most %d times as many", len(input), allocated, factor)
			}
		})
	}
}

// allocatedBytes returns how many bytes f allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// readAll adds the input to r and reads all messages.
func readAll(t *testing.T, r *Reader, input string) {
	t.Helper()
	if err := r.Add([]byte(input)); err != nil {
		t.Fatal(err)
	}
	for {
		m, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m == nil {
			return
		}
	}
}
