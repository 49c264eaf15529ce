package oip

import (
	"math"
	"testing"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"

	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// TestLoadReport covers a report that is encoded and parsed again, trailers without a report, malformed reports, and
// metrics out of bounds.
func TestLoadReport(t *testing.T) {
	want := LoadReport{InFlight: 3, Queued: 0, Loading: 1, Copies: 2, FunctionInFlight: 7, CacheStatus: 2}
	if got, err := ParseLoadReport([]hpack.Field{want.Trailer()}); err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	if got, err := ParseLoadReport(nil); err != nil || got != NoLoadReport {
		t.Errorf("no report: %+v, %v", got, err)
	}
	for name, value := range map[string]string{"not base64": "!!", "not a protobuf message": grpc.EncodeBinaryHeader([]byte{0x0a, 0xff})} {
		t.Run(name, func(t *testing.T) {
			if got, err := ParseLoadReport([]hpack.Field{{Name: LoadReportField, Value: value}}); err == nil || got != NoLoadReport {
				t.Errorf("%q: %+v, %v", value, got, err)
			}
		})
	}
	outOfBounds := &orca.OrcaLoadReport{NamedMetrics: map[string]float64{MetricInFlight: math.Inf(1), MetricQueued: -4, MetricCacheStatus: 1e30}}
	got, err := ParseLoadReport([]hpack.Field{{Name: LoadReportField, Value: grpc.EncodeBinaryHeader(marshal(t, outOfBounds))}})
	if err != nil || got.InFlight != -1 || got.Queued != -1 || got.CacheStatus != 4 {
		t.Errorf("out of bounds: %+v, %v", got, err)
	}
}
