package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

var limits = Limits{Items: 8, Bytes: 1 << 10}

// read feeds the pieces and returns the messages, each as its items joined by "|".
func read(pieces ...[]byte) (out []string, err error) {
	r := NewReader(limits)
	for _, p := range pieces {
		p = append([]byte(nil), p...)
		err = r.Feed(p, func(items [][]byte) error {
			out = append(out, string(bytes.Join(items, []byte("|"))))
			return nil
		})
		for i := range p { // the bytes are the caller's again
			p[i] = '#'
		}
		if err != nil {
			return out, err
		}
	}
	return out, nil
}

// TestEveryCut: where a stream is cut into pieces changes nothing of its messages.
func TestEveryCut(t *testing.T) {
	stream := Append(nil, []byte("id1"), []byte("ok"), []byte("-"), []byte("a\r\nbody"))
	stream = Append(stream, []byte("id2"), []byte("refused"), []byte("company=3"), nil)
	want := "id1|ok|-|a\r\nbody id2|refused|company=3|"
	for i := range len(stream) {
		for j := i; j <= len(stream); j++ {
			got, err := read(stream[:i], stream[i:j], stream[j:])
			if err != nil || strings.Join(got, " ") != want {
				t.Fatalf("cut at %d and %d: %q, %v", i, j, got, err)
			}
		}
	}
}

// TestBoundsBeforeBytes: what a length announces is turned down by the length alone, before any of it comes; what
// can't become a message is turned down as soon as that shows, not when more has come.
func TestBoundsBeforeBytes(t *testing.T) {
	for in, want := range map[string]error{
		"*4\r\n$3221225472\r\n": ErrLimit, // 3 GB
		"*4\r\n$1025\r\n":       ErrLimit,
		"*9\r\n":                ErrLimit,
		"*2\r\n$1000\r\n" + strings.Repeat("x", 1000) + "\r\n$100\r\n": ErrLimit, // of all items together
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
		"*1\r\n$2\r\nabcd":                                             ErrSyntax, // longer than its length
		"*4x":                                                          ErrSyntax,
	} {
		if _, err := read([]byte(in)); !errors.Is(err, want) {
			t.Errorf("%q: %v, want %v", in, err, want)
		}
	}
}

// TestIdleHoldsNothing: between messages no buffer is kept, and a message begun is told.
func TestIdleHoldsNothing(t *testing.T) {
	r := NewReader(limits)
	none := func([][]byte) error { return nil }
	m := Append(nil, []byte("a"), bytes.Repeat([]byte("b"), 900))
	if err := r.Feed(m[:500], none); err != nil || !r.Partial() {
		t.Fatalf("%v, partial %v", err, r.Partial())
	}
	if err := r.Feed(m[500:], none); err != nil || r.Partial() || r.buf != nil {
		t.Fatalf("%v, partial %v, %d bytes kept", err, r.Partial(), len(r.buf))
	}
}

// FuzzReader: no input panics, none is kept beyond the bounds, and pieces give what the whole gives.
func FuzzReader(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n$2\r\nok\r\n"), 3)
	f.Add([]byte("*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$2\r\nok\r\n$21\r\ncompany=2,meter=inflight:7\r\n$0\r\n\r\n"), 20)
	f.Add([]byte("*1\r\n$3221225472\r\n"), 5)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		whole, err := read(in)
		if cut < 0 || cut > len(in) {
			return
		}
		pieces, errCut := read(in[:cut], in[cut:])
		if fmt.Sprint(whole) != fmt.Sprint(pieces) || (err == nil) != (errCut == nil) {
			t.Fatalf("whole %q, %v; cut at %d %q, %v", whole, err, cut, pieces, errCut)
		}
	})
}
