package oip

import (
	"errors"
	"math"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/oip/inference"
)

// testRequest returns a request with parameters of every type and a tensor of 100 kB.
func testRequest() *inference.ModelInferRequest {
	text := func(s string) *inference.InferParameter {
		return &inference.InferParameter{ParameterChoice: &inference.InferParameter_StringParam{StringParam: s}}
	}
	return &inference.ModelInferRequest{ModelName: "quote", ModelVersion: "7", Id: "call-1",
		Parameters: map[string]*inference.InferParameter{
			ParamClass: text("renew"), ParamTenant: text("jos"), ParamIdempotencyKey: text("k-9"), "own": text("kept"),
			ParamMemoryMB:    {ParameterChoice: &inference.InferParameter_Int64Param{Int64Param: 400}},
			ParamConcurrency: {ParameterChoice: &inference.InferParameter_Uint64Param{Uint64Param: 2}},
			ParamWorkMS:      {ParameterChoice: &inference.InferParameter_DoubleParam{DoubleParam: 12.5}}},
		Inputs:           []*inference.ModelInferRequest_InferInputTensor{{Name: "in", Datatype: "FP32", Shape: []int64{1, 4}}},
		RawInputContents: [][]byte{make([]byte, 100000)}}
}

func marshal(t testing.TB, m proto.Message) []byte {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestScan(t *testing.T) {
	fields, err := Scan(marshal(t, testRequest()))
	if err != nil {
		t.Fatal(err)
	}
	if fields.Model != "quote" || fields.Version != "7" || fields.ID != "call-1" || fields.Class != "renew" || fields.Tenant != "jos" ||
		fields.IdempotencyKey != "k-9" || fields.MemoryMB != 400 || fields.ConcurrencyPerInstance != 2 || fields.WorkMS != 12.5 || !math.IsNaN(fields.LoadMS) {
		t.Errorf("read %+v", fields)
	}
	if fields.Function() != "quote@7" {
		t.Errorf("function %q", fields.Function())
	}
}

func TestScanRejectsMalformedMessages(t *testing.T) {
	param := func(value []byte) []byte {
		entry := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), ParamConcurrency)
		entry = protowire.AppendBytes(protowire.AppendTag(entry, 2, protowire.BytesType), value)
		return protowire.AppendBytes(protowire.AppendTag(nil, 4, protowire.BytesType), entry)
	}
	many := []byte{}
	for range maxParameters + 1 {
		many = append(many, param(nil)...)
	}
	for name, b := range map[string][]byte{
		"endless varint":      {0x0a, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1},
		"length beyond end":   {0x0a, 0x7f, 'a'},
		"tag of field 0":      {0x02, 0x00},
		"group without end":   {0x2b},
		"truncated entry":     {0x22, 0x02, 0x0a, 0x05},
		"lanes as a text":     param([]byte{0x1a, 0x01, 'x'}),
		"lanes of NaN":        param(protowire.AppendFixed64([]byte{0x21}, math.Float64bits(math.NaN()))),
		"negative lanes":      param(protowire.AppendVarint([]byte{0x10}, math.MaxUint64)),
		"too many parameters": many,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Scan(b); !errors.Is(err, ErrMalformed) {
				t.Errorf("error %v, want ErrMalformed", err)
			}
		})
	}
}

// FuzzScan compares Scan with the generated code: for a message that both accept, the fields must be equal.
func FuzzScan(f *testing.F) {
	m := testRequest()
	m.RawInputContents = [][]byte{{1, 2, 3}}
	f.Add(marshal(f, m))
	f.Add(marshal(f, &inference.ModelInferRequest{ModelName: "a"}))
	f.Add([]byte{0x0a, 0x01, 'a', 0x0a, 0x01, 'b'})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Scan(b)
		var m inference.ModelInferRequest
		if proto.Unmarshal(b, &m) != nil || err != nil {
			return // Scan does not decode tensors, and has limits that protobuf does not have
		}
		if got.Model != m.ModelName || got.Version != m.ModelVersion || got.ID != m.Id {
			t.Fatalf("scanned %+v, protobuf reads %v", got, &m)
		}
		if want := m.Parameters[ParamClass].GetStringParam(); want != "" && got.Class != want {
			t.Fatalf("class %q, protobuf reads %q", got.Class, want)
		}
	})
}

func BenchmarkScan(b *testing.B) {
	raw := marshal(b, testRequest())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Scan(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUnmarshal measures the complete decoding that Scan avoids, for comparison with BenchmarkScan.
func BenchmarkUnmarshal(b *testing.B) {
	raw := marshal(b, testRequest())
	b.ReportAllocs()
	for b.Loop() {
		var m inference.ModelInferRequest
		if err := proto.Unmarshal(raw, &m); err != nil {
			b.Fatal(err)
		}
	}
}
