package oip

import (
	"errors"
	"math"
	"testing"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/oip/inference"
	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

func request() *inference.ModelInferRequest {
	text := func(s string) *inference.InferParameter {
		return &inference.InferParameter{ParameterChoice: &inference.InferParameter_StringParam{StringParam: s}}
	}
	return &inference.ModelInferRequest{ModelName: "quote", ModelVersion: "7", Id: "call-1",
		Parameters: map[string]*inference.InferParameter{
			ParamClass: text("renew"), ParamTenant: text("jos"), ParamKey: text("k-9"), "own": text("kept"),
			ParamMemoryMB: {ParameterChoice: &inference.InferParameter_Int64Param{Int64Param: 400}},
			ParamLanes:    {ParameterChoice: &inference.InferParameter_Uint64Param{Uint64Param: 2}},
			ParamWorkMS:   {ParameterChoice: &inference.InferParameter_DoubleParam{DoubleParam: 12.5}}},
		Inputs:           []*inference.ModelInferRequest_InferInputTensor{{Name: "in", Datatype: "FP32", Shape: []int64{1, 4}}},
		RawInputContents: [][]byte{make([]byte, 100000)}}
}

func marshal(t testing.TB, m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestScan(t *testing.T) {
	r, err := Scan(marshal(t, request()))
	if err != nil {
		t.Fatal(err)
	}
	if r.Model != "quote" || r.Version != "7" || r.ID != "call-1" || r.Class != "renew" || r.Tenant != "jos" ||
		r.Key != "k-9" || r.MemoryMB != 400 || r.Lanes != 2 || r.WorkMS != 12.5 || !math.IsNaN(r.LoadMS) {
		t.Errorf("read %+v", r)
	}
	if r.Function() != "quote@7" {
		t.Errorf("function %q", r.Function())
	}
}

func TestScanOfBadMessages(t *testing.T) {
	param := func(value []byte) []byte {
		entry := protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), ParamLanes)
		entry = protowire.AppendBytes(protowire.AppendTag(entry, 2, protowire.BytesType), value)
		return protowire.AppendBytes(protowire.AppendTag(nil, 4, protowire.BytesType), entry)
	}
	many := []byte{}
	for range maxParams + 1 {
		many = append(many, param(nil)...)
	}
	for name, b := range map[string][]byte{
		"endless varint":    {0x0a, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1},
		"length beyond end": {0x0a, 0x7f, 'a'},
		"tag of field 0":    {0x02, 0x00},
		"group never ended": {0x2b},
		"cut entry":         {0x22, 0x02, 0x0a, 0x05},
		"lanes as a text":   param([]byte{0x1a, 0x01, 'x'}),
		"lanes of NaN":      param(protowire.AppendFixed64([]byte{0x21}, math.Float64bits(math.NaN()))),
		"lanes below 0":     param(protowire.AppendVarint([]byte{0x10}, math.MaxUint64)),
		"many parameters":   many,
	} {
		if _, err := Scan(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestReports(t *testing.T) {
	want := Report{InFlight: 3, Queue: 0, Loading: 1, Copies: 2, Company: 7, Warmth: 2}
	if got, err := ReportOf([]hpack.Field{want.Field()}); err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	if got, err := ReportOf(nil); err != nil || got != NoReport {
		t.Errorf("none: %+v, %v", got, err)
	}
	for _, v := range []string{"!!", grpc.EncodeBinaryHeader([]byte{0x0a, 0xff})} {
		if got, err := ReportOf([]hpack.Field{{Name: ReportField, Value: v}}); err == nil || got != NoReport {
			t.Errorf("%q: %+v, %v", v, got, err)
		}
	}
	odd := &orca.OrcaLoadReport{NamedMetrics: map[string]float64{MetricInFlight: math.Inf(1), MetricQueue: -4, MetricWarmth: 1e30}}
	got, err := ReportOf([]hpack.Field{{Name: ReportField, Value: grpc.EncodeBinaryHeader(marshal(t, odd))}})
	if err != nil || got.InFlight != -1 || got.Queue != -1 || got.Warmth != 4 {
		t.Errorf("odd numbers: %+v, %v", got, err)
	}
}

// FuzzScan compares with the generated code: what protobuf reads as a request, the scan reads alike.
func FuzzScan(f *testing.F) {
	m := request()
	m.RawInputContents = [][]byte{{1, 2, 3}}
	f.Add(marshal(f, m))
	f.Add(marshal(f, &inference.ModelInferRequest{ModelName: "a"}))
	f.Add([]byte{0x0a, 0x01, 'a', 0x0a, 0x01, 'b'})
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Scan(b)
		var m inference.ModelInferRequest
		if proto.Unmarshal(b, &m) != nil || err != nil {
			return // the scan does not look into tensors, and bounds what protobuf does not
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
	raw := marshal(b, request())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Scan(raw); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkUnmarshal(b *testing.B) {
	raw := marshal(b, request())
	b.ReportAllocs()
	for b.Loop() {
		var m inference.ModelInferRequest
		if err := proto.Unmarshal(raw, &m); err != nil {
			b.Fatal(err)
		}
	}
}
