package oip

import (
	"fmt"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// LoadReportField is the trailer in which a worker reports its load: a serialized OrcaLoadReport, the public ORCA format
// (gRFC A51).
const LoadReportField = "endpoint-load-metrics-bin"

// The named metrics of a load report.
const (
	MetricInFlight         = "inflight" // requests at the worker
	MetricQueued           = "queue"    // requests that wait there
	MetricLoading          = "loading"  // loads in progress or waiting
	MetricCopies           = "copies"   // loaded copies of the call's model
	MetricFunctionInFlight = "company"  // requests for the same model at the worker when the call arrived
	MetricCacheStatus      = "warmth"   // 1 a copy was loaded, 2 this call started a load, 3 it joined one, 4 the load failed
)

// Bounds on the metrics of a load report.
const (
	maxMetric      = 1e9 // exclusive
	maxCacheStatus = 4
)

// LoadReport is a worker's report of its load. A negative number was not reported.
type LoadReport struct {
	InFlight, Queued, Loading, Copies, FunctionInFlight float64

	CacheStatus int // as MetricCacheStatus; 0: not reported
}

// NoLoadReport is the report in which nothing is reported.
var NoLoadReport = LoadReport{InFlight: -1, Queued: -1, Loading: -1, Copies: -1, FunctionInFlight: -1}

// ParseLoadReport reads the load report in the trailers of a call. It returns NoLoadReport if there is none, and with an error
// if there is one that cannot be read: a worker's report is never a reason to fail a call. Metrics out of bounds are ignored.
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
		serialized = nil // numbers always marshal
	}
	return hpack.Field{Name: LoadReportField, Value: grpc.EncodeBinaryHeader(serialized)}
}
