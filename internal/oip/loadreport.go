package oip

import (
	"fmt"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// LoadReportField is the trailer in which a worker reports its load, as a serialized OrcaLoadReport of the public ORCA
// format (gRFC A51).
const LoadReportField = "endpoint-load-metrics-bin"

// The named metrics of a load report.
const (
	MetricInFlight         = "inflight" // requests in flight at the worker
	MetricQueued           = "queue"    // requests queued at the worker
	MetricLoading          = "loading"  // loads in progress or waiting
	MetricCopies           = "copies"   // loaded copies of the call's model
	MetricFunctionInFlight = "company"  // requests for the call's model at the worker when the call arrived
	// MetricCacheStatus is 1 if a copy was loaded, 2 if the call started a load, 3 if it joined one, and 4 if the load
	// failed.
	MetricCacheStatus = "warmth"
)

// Bounds on the metrics of a load report.
const (
	maxMetric      = 1e9 // exclusive
	maxCacheStatus = 4
)

// LoadReport is a worker's report of its load. Its fields are named after the metrics.
type LoadReport struct {
	InFlight, Queued, Loading, Copies, FunctionInFlight float64 // negative means not reported

	CacheStatus int // 0 means not reported
}

// NoLoadReport is a LoadReport without any metric.
var NoLoadReport = LoadReport{InFlight: -1, Queued: -1, Loading: -1, Copies: -1, FunctionInFlight: -1}

// ParseLoadReport parses the load report in the trailers of a call. If the trailers have none it returns
// NoLoadReport. If the report is malformed it returns NoLoadReport and an error; callers must not fail the call for
// that. Negative or too large metrics are ignored, and the cache status is clamped to its bounds.
func ParseLoadReport(trailers []hpack.Field) (LoadReport, error) {
	value, ok := grpc.FieldValue(trailers, LoadReportField)
	if !ok {
		return NoLoadReport, nil
	}
	serialized, err := grpc.DecodeBinaryHeader(value)
	if err != nil {
		return NoLoadReport, fmt.Errorf("oip: %s: %w", LoadReportField, err)
	}
	var message orca.OrcaLoadReport
	if err := proto.Unmarshal(serialized, &message); err != nil {
		return NoLoadReport, fmt.Errorf("oip: %s: %w", LoadReportField, err)
	}
	report := NoLoadReport
	for name, field := range map[string]*float64{MetricInFlight: &report.InFlight, MetricQueued: &report.Queued,
		MetricLoading: &report.Loading, MetricCopies: &report.Copies, MetricFunctionInFlight: &report.FunctionInFlight} {
		if value, ok := message.NamedMetrics[name]; ok && value >= 0 && value < maxMetric {
			*field = value
		}
	}
	report.CacheStatus = int(min(max(message.NamedMetrics[MetricCacheStatus], 0), maxCacheStatus))
	return report, nil
}

// Trailer returns the trailer that carries the report.
func (r LoadReport) Trailer() hpack.Field {
	message := &orca.OrcaLoadReport{NamedMetrics: map[string]float64{}}
	for name, value := range map[string]float64{MetricInFlight: r.InFlight, MetricQueued: r.Queued,
		MetricLoading: r.Loading, MetricCopies: r.Copies, MetricFunctionInFlight: r.FunctionInFlight} {
		if value >= 0 {
			message.NamedMetrics[name] = value
		}
	}
	if r.CacheStatus > 0 {
		message.NamedMetrics[MetricCacheStatus] = float64(r.CacheStatus)
	}
	serialized, err := proto.Marshal(message)
	if err != nil {
		serialized = nil // not reached: a message of numbers can always be marshalled
	}
	return hpack.Field{Name: LoadReportField, Value: grpc.EncodeBinaryHeader(serialized)}
}
