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

func decodeHex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestRFC7541Examples decodes the examples of RFC 7541, Appendix C.4 and C.6: sequences of Huffman coded requests and
// responses, each with one dynamic table.
func TestRFC7541Examples(t *testing.T) {
	t.Run("C.4 requests", decodeRequestExamples)
	t.Run("C.6 responses with eviction", decodeResponseExamples)
}

func decodeRequestExamples(t *testing.T) {
	d := NewDecoder(DefaultTableSize, 1<<16)
	for i, c := range []struct{ block, last string }{
		{"8286 8441 8cf1 e3c2 e5f2 3a6b a0ab 90f4 ff", ":authority=www.example.com"},
		{"8286 84be 5886 a8eb 1064 9cbf", "cache-control=no-cache"},
		{"8287 85bf 4088 25a8 49e9 5ba9 7d7f 8925 a849 e95b b8e8 b4bf", "custom-key=custom-value"},
	} {
		f, err := d.Decode(nil, decodeHex(t, c.block))
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
}

func decodeResponseExamples(t *testing.T) {
	d := NewDecoder(DefaultTableSize, 1<<16)
	d.table.maxSize = 256
	for _, block := range []string{
		"4882 6402 5885 aec3 771a 4b61 96d0 7abe 9410 54d4 44a8 2005 9504 0b81 66e0 82a6 2d1b ff6e 919d 29ad 1718 63c7 8f0b 97c8 e9ae 82ae 43d3",
		"4883 640e ffc1 c0bf",
		"88c1 6196 d07a be94 1054 d444 a820 0595 040b 8166 e084 a62d 1bff c05a 839b d9ab 77ad 94e7 821d d7f2 e6c7 b335 dfdf cd5b 3960 d5af 2708 7f36 72c1 ab27 0fb5 291f 9587 3160 65c0 03ed 4ee5 b106 3d50 07",
	} {
		if _, err := d.Decode(nil, decodeHex(t, block)); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(d.table.entries); n != 3 || d.table.size != 215 {
		t.Errorf("after evictions: %d entries of %d bytes, want 3 of 215", n, d.table.size)
	}
}

func TestDecodeErrors(t *testing.T) {
	for _, c := range []struct {
		name, block string
		want        error
	}{
		{"index 0", "80", ErrInvalidIndex},
		{"index far outside the tables", "ff80 01", ErrInvalidIndex},
		{"no name", "40", ErrTruncated},
		{"truncated name", "4003 6162", ErrTruncated},
		{"integer too large", "7fff ffff ffff ffff 7f", ErrIntegerOverflow},
		{"table size update behind a field", "823f e11f", ErrTableSizeUpdate},
		{"table size update of 4097 bytes", "3fe2 1f", ErrTableSizeUpdate},
		{"invalid padding", "4081 00 00", errInvalidHuffman},
		{"EOS", "4084 ffff ffff 00", errInvalidHuffman},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := NewDecoder(DefaultTableSize, 1<<16).Decode(nil, decodeHex(t, c.block)); !errors.Is(err, c.want) {
				t.Errorf("%s: error %v, want %v", c.block, err, c.want)
			}
		})
	}
}

// TestDecodeLimitsHeaderList guards against a block with many references to one large table entry, which is small on
// the wire and large in memory.
func TestDecodeLimitsHeaderList(t *testing.T) {
	d := NewDecoder(DefaultTableSize, 16<<10)
	block := NewEncoder().AppendField(nil, Field{Name: "big", Value: strings.Repeat("v", 900)})
	for range 10000 {
		block = append(block, 0xbe) // index of the newest entry of the dynamic table
	}
	f, err := d.Decode(nil, block)
	if !errors.Is(err, ErrHeaderListTooLarge) || len(f) > 20 {
		t.Fatalf("decoded %d fields, error %v; want at most 20 and ErrHeaderListTooLarge", len(f), err)
	}
	if f, err = d.Decode(nil, []byte{0xbe}); err != nil || f[0].Name != "big" {
		t.Fatalf("the next block is decoded as %v, error %v", f, err)
	}
}

func randomFields(rng *rand.Rand) (fields []Field) {
	for range 1 + rng.IntN(12) {
		f := Field{Name: fmt.Sprintf("x-%d", rng.IntN(30)), Value: strings.Repeat(string(rune(33+rng.IntN(90))), rng.IntN(60)),
			Sensitive: rng.IntN(10) == 0}
		if rng.IntN(3) == 0 {
			f = staticTable[rng.IntN(len(staticTable))]
		}
		fields = append(fields, f)
	}
	return fields
}

// codecPair connects this package's Encoder and Decoder with those of golang.org/x/net.
type codecPair struct {
	encoder     *Encoder
	decoder     *Decoder
	peerEncoder *peer.Encoder
	peerDecoder *peer.Decoder
	peerBlock   bytes.Buffer // output of peerEncoder
}

func newCodecPair() *codecPair {
	p := &codecPair{encoder: NewEncoder(), decoder: NewDecoder(DefaultTableSize, 1<<20),
		peerDecoder: peer.NewDecoder(DefaultTableSize, nil)}
	p.peerDecoder.SetAllowedMaxDynamicTableSize(1 << 16)
	p.peerEncoder = peer.NewEncoder(&p.peerBlock)
	return p
}

// exchange encodes fields at each end and checks that the other end decodes them to the same fields.
func (p *codecPair) exchange(t *testing.T, fields []Field) {
	t.Helper()
	block := p.encoder.BeginBlock(nil)
	p.peerBlock.Reset()
	for _, f := range fields {
		block = p.encoder.AppendField(block, f)
		if err := p.peerEncoder.WriteField(peer.HeaderField{Name: f.Name, Value: f.Value, Sensitive: f.Sensitive}); err != nil {
			t.Fatal(err)
		}
	}
	byPeer, err := p.peerDecoder.DecodeFull(block)
	if err != nil {
		t.Fatalf("the peer can't decode our block: %v", err)
	}
	decoded, err := p.decoder.Decode(nil, p.peerBlock.Bytes())
	if err != nil {
		t.Fatalf("the peer's block can't be decoded: %v", err)
	}
	if len(byPeer) != len(fields) || len(decoded) != len(fields) {
		t.Fatalf("the peer decoded %d fields and this package %d, want %d", len(byPeer), len(decoded), len(fields))
	}
	for i, f := range fields {
		if byPeer[i].Name != f.Name || byPeer[i].Value != f.Value || decoded[i].Name != f.Name || decoded[i].Value != f.Value {
			t.Fatalf("field %d: the peer decoded %v and this package %v, want %v", i, byPeer[i], decoded[i], f)
		}
	}
}

// TestInteroperability checks that golang.org/x/net's codec decodes what this package encodes, and vice versa, over
// long connections with changing table sizes.
func TestInteroperability(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			p := newCodecPair()
			for range 200 {
				if rng.IntN(20) == 0 {
					p.encoder.SetMaxTableSize(rng.IntN(8000))
					p.encoder.SetMaxTableSize(rng.IntN(8000))
					p.peerEncoder.SetMaxDynamicTableSize(uint32(rng.IntN(DefaultTableSize + 1)))
				}
				p.exchange(t, randomFields(rng))
			}
		})
	}
}

// FuzzDecode compares Decoder with that of golang.org/x/net: a block that both accept must give the same fields.
func FuzzDecode(f *testing.F) {
	f.Add(decodeHex(f, "828684418cf1e3c2e5f23a6ba0ab90f4ff"))
	f.Add(decodeHex(f, "3fe11f20408825a849e95ba97d7f8925a849e95bb8e8b4bf"))
	f.Add(decodeHex(f, "488264025885aec3771a4b61"))
	f.Fuzz(func(t *testing.T, block []byte) {
		got, err := NewDecoder(DefaultTableSize, 1<<20).Decode(nil, block)
		want, peerErr := peer.NewDecoder(DefaultTableSize, nil).DecodeFull(block)
		if err != nil || peerErr != nil {
			return // allowed differences: the peer accepts larger integers, this package a size update that the peer rejects
		}
		if len(got) != len(want) {
			t.Fatalf("decoded %d fields, the peer %d", len(got), len(want))
		}
		for i := range got {
			if got[i].Name != want[i].Name || got[i].Value != want[i].Value {
				t.Fatalf("field %d: decoded %v, the peer %v", i, got[i], want[i])
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
