package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

var testLimits = Limits{Items: 8, Bytes: 1 << 10}

// feedAll feeds the chunks to a new Reader and returns the messages, each as its items joined by "|".
func feedAll(chunks ...[]byte) (out []string, err error) {
	r := NewReader(testLimits)
	for _, p := range chunks {
		p = append([]byte(nil), p...)
		err = r.Feed(p, func(items [][]byte) error {
			out = append(out, string(bytes.Join(items, []byte("|"))))
			return nil
		})
		for i := range p { // the reader must not retain the chunk
			p[i] = '#'
		}
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

// TestMessagesDoNotDependOnChunks cuts a stream into chunks at every pair of positions. The messages are always the
// same.
func TestMessagesDoNotDependOnChunks(t *testing.T) {
	stream := Append(nil, []byte("id1"), []byte("ok"), []byte("-"), []byte("a\r\nbody"))
	stream = Append(stream, []byte("id2"), []byte("refused"), []byte("company=3"), nil)
	want := "id1|ok|-|a\r\nbody id2|refused|company=3|"
	for i := range len(stream) {
		for j := i; j <= len(stream); j++ {
			got, err := feedAll(stream[:i], stream[i:j], stream[j:])
			if err != nil || strings.Join(got, " ") != want {
				t.Fatalf("cut at %d and %d: %q, %v", i, j, got, err)
			}
		}
	}
}

// TestInvalidInputIsRejectedEarly checks that a message beyond the limits is rejected when its length is read, before
// its bytes arrive, and that a syntax error is rejected without waiting for more input.
func TestInvalidInputIsRejectedEarly(t *testing.T) {
	for in, want := range map[string]error{
		"*4\r\n$3221225472\r\n": ErrLimit, // 3 GB
		"*4\r\n$1025\r\n":       ErrLimit,
		"*9\r\n":                ErrLimit,
		"*2\r\n$1000\r\n" + strings.Repeat("x", 1000) + "\r\n$100\r\n": ErrLimit, // total of all items
		"*99999999999999999999\r\n":                                    ErrLimit,
		"*4\r\n$00000000000000001":                                     ErrLimit,
		"*0\r\n":                                                       ErrSyntax,
		"*-1\r\n":                                                      ErrSyntax,
		"*4\r\n$-1\r\n":                                                ErrSyntax,
		"*4\n":                                                         ErrSyntax,
		"*04\r\n":                                                      ErrSyntax,
		"*\r\n":                                                        ErrSyntax,
		"+OK\r\n":                                                      ErrSyntax,
		"x":                                                            ErrSyntax,
		"*4\r\n:":                                                      ErrSyntax,
		"*1\r\n$2\r\nabcd":                                             ErrSyntax, // no CR LF after 2 bytes
		"*4x":                                                          ErrSyntax,
	} {
		t.Run(fmt.Sprintf("%.24q", in), func(t *testing.T) {
			if _, err := feedAll([]byte(in)); !errors.Is(err, want) {
				t.Errorf("%q: %v, want %v", in, err, want)
			}
		})
	}
}

// TestIdleReaderHoldsNoBuffer checks that the reader keeps no buffer between messages, and reports a partial message.
func TestIdleReaderHoldsNoBuffer(t *testing.T) {
	r := NewReader(testLimits)
	ignore := func([][]byte) error { return nil }
	m := Append(nil, []byte("a"), bytes.Repeat([]byte("b"), 900))
	if err := r.Feed(m[:500], ignore); err != nil || !r.Partial() {
		t.Fatalf("%v, partial %v", err, r.Partial())
	}
	if err := r.Feed(m[500:], ignore); err != nil || r.Partial() || r.buffer != nil {
		t.Fatalf("%v, partial %v, %d bytes buffered", err, r.Partial(), len(r.buffer))
	}
}

// FuzzReader checks that no input causes a panic, and that input in two chunks gives the same messages as in one.
func FuzzReader(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n$2\r\nok\r\n"), 3)
	f.Add([]byte("*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$2\r\nok\r\n$21\r\ncompany=2,meter=inflight:7\r\n$0\r\n\r\n"), 20)
	f.Add([]byte("*1\r\n$3221225472\r\n"), 5)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		whole, err := feedAll(in)
		if cut < 0 || cut > len(in) {
			return
		}
		chunks, errChunks := feedAll(in[:cut], in[cut:])
		if fmt.Sprint(whole) != fmt.Sprint(chunks) || (err == nil) != (errChunks == nil) {
			t.Fatalf("whole %q, %v; cut at %d %q, %v", whole, err, cut, chunks, errChunks)
		}
	})
}
