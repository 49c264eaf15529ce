package grpc

import (
	"bytes"
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

func TestTimeouts(t *testing.T) {
	for s, want := range map[string]time.Duration{"1H": time.Hour, "99999999n": 99999999, "5S": 5 * time.Second,
		"0m": 0, "250m": 250 * time.Millisecond, "3u": 3 * time.Microsecond, "2M": 2 * time.Minute,
		"99999999H": math.MaxInt64} {
		if got, err := ParseTimeout(s); err != nil || got != want {
			t.Errorf("%s: %v, %v", s, got, err)
		}
	}
	for _, s := range []string{"", "S", "5", "-5S", "5s", "123456789S", "1.5S", " 5S", "+1S"} {
		if _, err := ParseTimeout(s); err == nil {
			t.Errorf("%q was taken", s)
		}
	}
	for _, d := range []time.Duration{0, 1, 99999999, 100000000, 1234567 * time.Millisecond, 400 * time.Hour, math.MaxInt64, -5} {
		got, err := ParseTimeout(FormatTimeout(d))
		if err != nil || got > max(d, 0) || float64(got) < 0.99*float64(d)-1 {
			t.Errorf("%v became %s, %v (%v): longer, or far shorter", d, FormatTimeout(d), got, err)
		}
	}
}

func TestMessages(t *testing.T) {
	for s, coded := range map[string]string{"plain text": "plain text", "50% of α\n": "50%25 of %CE%B1%0A", "": ""} {
		if got := PercentEncode(s); got != coded {
			t.Errorf("%q became %q", s, got)
		}
		if got := PercentDecode(coded); got != s {
			t.Errorf("%q was read as %q", coded, got)
		}
	}
	for _, s := range []string{"%", "%4", "%zz", "100%"} { // invalid: kept as it is
		if got := PercentDecode(s); got != s {
			t.Errorf("%q was read as %q", s, got)
		}
	}
}

func TestStatus(t *testing.T) {
	for _, c := range []struct {
		fields []hpack.Field
		code   Code
	}{
		{[]hpack.Field{{Name: "grpc-status", Value: "0"}}, OK},
		{[]hpack.Field{{Name: "grpc-status", Value: "14"}, {Name: "grpc-message", Value: "gone%21"}}, Unavailable},
		{[]hpack.Field{{Name: "grpc-status", Value: "x"}}, Unknown},
		{nil, Unknown},
	} {
		if got := StatusFromTrailers(c.fields); got.Code != c.code {
			t.Errorf("%v: %v", c.fields, got)
		}
	}
	if got := StatusFromTrailers(Status{Internal, "a\tb"}.Trailers()); got != (Status{Internal, "a\tb"}) {
		t.Errorf("%v", got)
	}
	if StatusFromHTTP("503").Code != Unavailable || StatusFromHTTP("404").Code != Unimplemented || StatusFromHTTP("200").Code != Unknown {
		t.Error("HTTP statuses are mapped otherwise than the specification says")
	}
}

func TestBin(t *testing.T) {
	for _, s := range []string{"", "a", "ab", "abc", "\x00\xff\x80"} {
		if got, err := DecodeBinaryHeader(EncodeBinaryHeader([]byte(s))); err != nil || string(got) != s {
			t.Errorf("%q: %q, %v", s, got, err)
		}
	}
	if got, err := DecodeBinaryHeader("YQ=="); err != nil || string(got) != "a" {
		t.Errorf("padded: %q, %v", got, err)
	}
	if _, err := DecodeBinaryHeader("!!!"); err == nil {
		t.Error("not base64, and taken")
	}
}

// TestBorders cuts a stream of messages at every kind of border.
func TestBorders(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		var stream []byte
		var want [][]byte
		for range rng.IntN(6) {
			m := bytes.Repeat([]byte{byte(rng.IntN(256))}, rng.IntN(40)*rng.IntN(40))
			whole := append(AppendPrefix(nil, len(m), false), m...)
			want = append(want, whole)
			stream = append(stream, whole...)
		}
		r, c := MessageReader{MaxSize: 2000}, MessageCounter{}
		var got [][]byte
		for len(stream) > 0 {
			n := min(1+rng.IntN(50), len(stream))
			p := stream[:n]
			stream = stream[n:]
			if err := c.Add(p); err != nil {
				t.Fatal(err)
			}
			for len(p) > 0 {
				m, rest, err := r.Next(p)
				if err != nil {
					t.Fatal(err)
				}
				if m != nil {
					got = append(got, bytes.Clone(m))
				}
				p = rest
			}
		}
		if len(got) != len(want) || c.Messages != len(want) || c.Partial() || r.Partial() {
			t.Fatalf("%d messages read, %d counted, want %d", len(got), c.Messages, len(want))
		}
		for i := range want {
			if !bytes.Equal(got[i], want[i]) {
				t.Fatalf("message %d differs", i)
			}
		}
	}
}

func TestBadMessages(t *testing.T) {
	r := MessageReader{MaxSize: 10}
	if _, _, err := r.Next([]byte{0, 0, 0, 0, 11}); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("too large: %v", err)
	}
	r = MessageReader{MaxSize: 10}
	if _, _, err := r.Next([]byte{2, 0, 0, 0, 1, 1}); !errors.Is(err, ErrCompressedFlag) {
		t.Errorf("bad flag: %v", err)
	}
	c := MessageCounter{}
	if err := c.Add([]byte{7, 0, 0, 0, 1}); !errors.Is(err, ErrCompressedFlag) {
		t.Errorf("bad flag, counted: %v", err)
	}
	r = MessageReader{MaxSize: 10}
	if m, _, err := r.Next([]byte{0, 0, 0, 0, 5, 1, 2}); m != nil || err != nil || !r.Partial() {
		t.Errorf("a cut message: %v, %v", m, err)
	}
}

func TestCompression(t *testing.T) {
	body := []byte(strings.Repeat("steam and beans ", 1000))
	m, err := Compress(body)
	if err != nil || len(m) > 500 {
		t.Fatalf("%d bytes, %v", len(m), err)
	}
	if got, err := MessageBody(m, "gzip", 1<<20); err != nil || !bytes.Equal(got, body) {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
	// A small message that unpacks to a large one is not unpacked further than the bound.
	if _, err := MessageBody(m, "gzip", 1000); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("a bomb: %v", err)
	}
	if _, err := MessageBody(m, "identity", 1<<20); err == nil {
		t.Error("compressed without an encoding, and taken")
	}
	if _, err := MessageBody(m[:30], "gzip", 1<<20); err == nil {
		t.Error("cut gzip was taken")
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 9, 1, 0, 0, 0, 0}, 3)
	f.Add([]byte{0, 0, 0, 0, 0}, 1)
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		step = max(step%64, 1)
		r, c := MessageReader{MaxSize: 1 << 16}, MessageCounter{}
		messages, bytesOut := 0, 0
		for rest := data; len(rest) > 0; {
			p := rest[:min(step, len(rest))]
			rest = rest[len(p):]
			counted := c.Add(p)
			for len(p) > 0 {
				m, left, err := r.Next(p)
				if err != nil {
					if errors.Is(err, ErrCompressedFlag) != errors.Is(counted, ErrCompressedFlag) && counted != nil {
						t.Fatalf("reader says %v, counter %v", err, counted)
					}
					return
				}
				if m != nil {
					messages++
					bytesOut += len(m)
				}
				p = left
			}
			if counted != nil {
				t.Fatalf("counter says %v, reader nothing", counted)
			}
			if messages != c.Messages {
				t.Fatalf("%d messages read, %d counted", messages, c.Messages)
			}
		}
		if bytesOut > len(data) {
			t.Fatal("more came out than went in")
		}
	})
}

func BenchmarkReaderWhole(b *testing.B) {
	m := append(AppendPrefix(nil, 1000, false), make([]byte, 1000)...)
	r := MessageReader{MaxSize: 1 << 20}
	b.ReportAllocs()
	for b.Loop() {
		if got, _, err := r.Next(m); err != nil || got == nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCounter(b *testing.B) {
	m := append(AppendPrefix(nil, 1000, false), make([]byte, 1000)...)
	c := MessageCounter{}
	b.ReportAllocs()
	for b.Loop() {
		if err := c.Add(m); err != nil {
			b.Fatal(err)
		}
	}
}
