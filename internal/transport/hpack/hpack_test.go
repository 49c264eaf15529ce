package hpack

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	peer "golang.org/x/net/http2/hpack"
)

func unhex(t testing.TB, s string) []byte {
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestExamplesOfTheRFC reads RFC 7541, Appendix C.4 and C.6: Huffman coded requests and responses that share
// a dynamic table.
func TestExamplesOfTheRFC(t *testing.T) {
	d := NewDecoder(DefaultTableSize, 1<<16)
	for i, c := range []struct{ block, last string }{
		{"8286 8441 8cf1 e3c2 e5f2 3a6b a0ab 90f4 ff", ":authority=www.example.com"},
		{"8286 84be 5886 a8eb 1064 9cbf", "cache-control=no-cache"},
		{"8287 85bf 4088 25a8 49e9 5ba9 7d7f 8925 a849 e95b b8e8 b4bf", "custom-key=custom-value"},
	} {
		f, err := d.Decode(nil, unhex(t, c.block))
		if err != nil {
			t.Fatalf("block %d: %v", i, err)
		}
		if got := f[len(f)-1]; got.Name+"="+got.Value != c.last {
			t.Errorf("block %d ends with %v, want %s", i, got, c.last)
		}
	}
	if n := len(d.table.entries); n != 3 || d.table.size != 164 {
		t.Errorf("table holds %d entries of %d bytes, want 3 of 164", n, d.table.size)
	}
	d = NewDecoder(DefaultTableSize, 1<<16)
	d.table.maxSize = 256
	for _, block := range []string{
		"4882 6402 5885 aec3 771a 4b61 96d0 7abe 9410 54d4 44a8 2005 9504 0b81 66e0 82a6 2d1b ff6e 919d 29ad 1718 63c7 8f0b 97c8 e9ae 82ae 43d3",
		"4883 640e ffc1 c0bf",
		"88c1 6196 d07a be94 1054 d444 a820 0595 040b 8166 e084 a62d 1bff c05a 839b d9ab 77ad 94e7 821d d7f2 e6c7 b335 dfdf cd5b 3960 d5af 2708 7f36 72c1 ab27 0fb5 291f 9587 3160 65c0 03ed 4ee5 b106 3d50 07",
	} {
		if _, err := d.Decode(nil, unhex(t, block)); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(d.table.entries); n != 3 || d.table.size != 215 {
		t.Errorf("after evictions: %d entries of %d bytes, want 3 of 215", n, d.table.size)
	}
}

func TestErrors(t *testing.T) {
	for block, want := range map[string]error{
		"80":                     ErrInvalidIndex, // index 0
		"ff80 01":                ErrInvalidIndex, // far outside
		"40":                     ErrTruncated,    // no name
		"4003 6162":              ErrTruncated,    // name cut
		"7fff ffff ffff ffff 7f": ErrIntegerOverflow,
		"823f e11f":              ErrTableSizeUpdate, // an update behind a field
		"3fe2 1f":                ErrTableSizeUpdate, // 4097 bytes
		"4081 00 00":             errInvalidHuffman,
		"4084 ffff ffff 00":      errInvalidHuffman, // EOS
	} {
		if _, err := NewDecoder(DefaultTableSize, 1<<16).Decode(nil, unhex(t, block)); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", block, err, want)
		}
	}
}

// TestBomb guards against a block of references to one large entry: little on the wire, much in memory.
func TestBomb(t *testing.T) {
	d := NewDecoder(DefaultTableSize, 16<<10)
	block := NewEncoder().AppendField(nil, Field{Name: "big", Value: strings.Repeat("v", 900)})
	for range 10000 {
		block = append(block, 0xbe) // the newest entry
	}
	f, err := d.Decode(nil, block)
	if !errors.Is(err, ErrHeaderListTooLarge) || len(f) > 20 {
		t.Fatalf("%d fields, %v", len(f), err)
	}
	if f, err = d.Decode(nil, []byte{0xbe}); err != nil || f[0].Name != "big" {
		t.Fatalf("the state was lost: %v, %v", f, err)
	}
}

func randomFields(rng *rand.Rand) (out []Field) {
	for range 1 + rng.IntN(12) {
		f := Field{Name: fmt.Sprintf("x-%d", rng.IntN(30)), Value: strings.Repeat(string(rune(33+rng.IntN(90))), rng.IntN(60)),
			Sensitive: rng.IntN(10) == 0}
		if rng.IntN(3) == 0 {
			f = staticTable[rng.IntN(len(staticTable))]
		}
		out = append(out, f)
	}
	return out
}

// TestAgainstAnIndependentPeer has golang.org/x/net's coder read what ours writes, and the other way round,
// over long connections with table sizes that change.
func TestAgainstAnIndependentPeer(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		ours, theirs := NewEncoder(), peer.NewDecoder(DefaultTableSize, nil)
		theirs.SetAllowedMaxDynamicTableSize(1 << 16)
		var buf bytes.Buffer
		back, mine := peer.NewEncoder(&buf), NewDecoder(DefaultTableSize, 1<<20)
		for range 200 {
			if rng.IntN(20) == 0 {
				ours.SetMaxTableSize(rng.IntN(8000))
				ours.SetMaxTableSize(rng.IntN(8000))
				back.SetMaxDynamicTableSize(uint32(rng.IntN(DefaultTableSize + 1)))
			}
			fields := randomFields(rng)
			block := ours.BeginBlock(nil)
			buf.Reset()
			for _, f := range fields {
				block = ours.AppendField(block, f)
				if err := back.WriteField(peer.HeaderField{Name: f.Name, Value: f.Value, Sensitive: f.Sensitive}); err != nil {
					t.Fatal(err)
				}
			}
			got, err := theirs.DecodeFull(block)
			if err != nil {
				t.Fatalf("seed %d: peer can't read ours: %v", seed, err)
			}
			again, err := mine.Decode(nil, buf.Bytes())
			if err != nil {
				t.Fatalf("seed %d: ours can't read the peer's: %v", seed, err)
			}
			if len(got) != len(fields) || len(again) != len(fields) {
				t.Fatalf("seed %d: %d and %d fields, want %d", seed, len(got), len(again), len(fields))
			}
			for i, f := range fields {
				if got[i].Name != f.Name || got[i].Value != f.Value || again[i].Name != f.Name || again[i].Value != f.Value {
					t.Fatalf("seed %d: field %d: %v and %v, want %v", seed, i, got[i], again[i], f)
				}
			}
		}
	}
}

// FuzzDecode compares with the independent decoder: whatever both accept must be the same fields.
func FuzzDecode(f *testing.F) {
	f.Add(unhex(f, "828684418cf1e3c2e5f23a6ba0ab90f4ff"))
	f.Add(unhex(f, "3fe11f20408825a849e95ba97d7f8925a849e95bb8e8b4bf"))
	f.Add(unhex(f, "488264025885aec3771a4b61"))
	f.Fuzz(func(t *testing.T, block []byte) {
		got, err := NewDecoder(DefaultTableSize, 1<<20).Decode(nil, block)
		want, theirs := peer.NewDecoder(DefaultTableSize, nil).DecodeFull(block)
		if err != nil || theirs != nil {
			return // the peer allows integers that ours bounds, ours an update that it refuses
		}
		if len(got) != len(want) {
			t.Fatalf("%d fields, the peer reads %d", len(got), len(want))
		}
		for i := range got {
			if got[i].Name != want[i].Name || got[i].Value != want[i].Value {
				t.Fatalf("field %d: %v, the peer reads %v", i, got[i], want[i])
			}
		}
	})
}

func BenchmarkDecodeRequest(b *testing.B) {
	enc, dec := NewEncoder(), NewDecoder(DefaultTableSize, 1<<16)
	fields := []Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"},
		{Name: ":path", Value: "/inference.GRPCInferenceService/ModelInfer"}, {Name: ":authority", Value: "worker"},
		{Name: "te", Value: "trailers"}, {Name: "content-type", Value: "application/grpc"},
		{Name: "grpc-timeout", Value: "1000m"}}
	var block []byte
	for range 2 {
		block = block[:0]
		for _, f := range fields {
			block = enc.AppendField(block, f)
		}
		if _, err := dec.Decode(nil, block); err != nil {
			b.Fatal(err)
		}
	}
	out := make([]Field, 0, 16)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := dec.Decode(out[:0], block); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeRequest(b *testing.B) {
	enc := NewEncoder()
	fields := []Field{{Name: ":method", Value: "POST"}, {Name: ":path", Value: "/inference.GRPCInferenceService/ModelInfer"},
		{Name: "te", Value: "trailers"}, {Name: "content-type", Value: "application/grpc"}, {Name: "grpc-timeout", Value: "1000m"}}
	out := make([]byte, 0, 256)
	b.ReportAllocs()
	for b.Loop() {
		block := out[:0]
		for _, f := range fields {
			block = enc.AppendField(block, f)
		}
	}
}
