package grpc

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
)

// TestMessagesAcrossReads splits a stream of messages at random places and checks that it is read and counted
// correctly.
func TestMessagesAcrossReads(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		var stream []byte
		var want [][]byte
		for range rng.IntN(6) {
			body := bytes.Repeat([]byte{byte(rng.IntN(256))}, rng.IntN(40)*rng.IntN(40))
			message := append(AppendPrefix(nil, len(body), false), body...)
			want = append(want, message)
			stream = append(stream, message...)
		}
		reader, counter := MessageReader{MaxSize: 2000}, MessageCounter{}
		var got [][]byte
		for len(stream) > 0 {
			n := min(1+rng.IntN(50), len(stream))
			p := stream[:n]
			stream = stream[n:]
			if err := counter.Add(p); err != nil {
				t.Fatal(err)
			}
			for len(p) > 0 {
				m, rest, err := reader.Next(p)
				if err != nil {
					t.Fatal(err)
				}
				if m != nil {
					got = append(got, bytes.Clone(m))
				}
				p = rest
			}
		}
		if len(got) != len(want) || counter.Messages != len(want) || counter.Partial() || reader.Partial() {
			t.Fatalf("%d messages read, %d counted, want %d", len(got), counter.Messages, len(want))
		}
		for i := range want {
			if !bytes.Equal(got[i], want[i]) {
				t.Fatalf("message %d differs", i)
			}
		}
	}
}

func TestInvalidMessages(t *testing.T) {
	t.Run("too large", func(t *testing.T) {
		r := MessageReader{MaxSize: 10}
		if _, _, err := r.Next([]byte{0, 0, 0, 0, 11}); !errors.Is(err, ErrMessageTooLarge) {
			t.Error(err)
		}
	})
	t.Run("compressed flag, read", func(t *testing.T) {
		r := MessageReader{MaxSize: 10}
		if _, _, err := r.Next([]byte{2, 0, 0, 0, 1, 1}); !errors.Is(err, ErrCompressedFlag) {
			t.Error(err)
		}
	})
	t.Run("compressed flag, counted", func(t *testing.T) {
		c := MessageCounter{}
		if err := c.Add([]byte{7, 0, 0, 0, 1}); !errors.Is(err, ErrCompressedFlag) {
			t.Error(err)
		}
	})
	t.Run("truncated", func(t *testing.T) {
		r := MessageReader{MaxSize: 10}
		if m, _, err := r.Next([]byte{0, 0, 0, 0, 5, 1, 2}); m != nil || err != nil || !r.Partial() {
			t.Errorf("message %v, error %v, or Partial is false", m, err)
		}
	})
}

// FuzzReader checks that MessageReader and MessageCounter find the same messages and errors in any bytes, however these
// are split.
func FuzzReader(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 9, 1, 0, 0, 0, 0}, 3)
	f.Add([]byte{0, 0, 0, 0, 0}, 1)
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		step = max(step%64, 1)
		reader, counter := MessageReader{MaxSize: 1 << 16}, MessageCounter{}
		messages, bytesRead := 0, 0
		for rest := data; len(rest) > 0; {
			p := rest[:min(step, len(rest))]
			rest = rest[len(p):]
			countErr := counter.Add(p)
			for len(p) > 0 {
				m, left, err := reader.Next(p)
				if err != nil {
					if errors.Is(err, ErrCompressedFlag) != errors.Is(countErr, ErrCompressedFlag) && countErr != nil {
						t.Fatalf("reader returns %v, counter %v", err, countErr)
					}
					return
				}
				if m != nil {
					messages++
					bytesRead += len(m)
				}
				p = left
			}
			if countErr != nil {
				t.Fatalf("counter returns %v, reader no error", countErr)
			}
			if messages != counter.Messages {
				t.Fatalf("%d messages read, %d counted", messages, counter.Messages)
			}
		}
		if bytesRead > len(data) {
			t.Fatal("the messages have more bytes than the input")
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
