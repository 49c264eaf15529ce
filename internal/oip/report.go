package oip

import (
	"fmt"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/protobuf/proto"

	"github.com/topazfront/topazfront/internal/transport/grpc"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// ReportField is the trailer in which a worker reports its load: a serialized OrcaLoadReport, the public ORCA
// form (gRFC A51).
const ReportField = "endpoint-load-metrics-bin"

// The named metrics of a report.
const (
	MetricInFlight = "inflight" // requests that the worker holds
	MetricQueue    = "queue"    // requests waiting there
	MetricLoading  = "loading"  // loads under way or waiting
	MetricCopies   = "copies"   // copies of the call's model that stand loaded
	MetricCompany  = "company"  // requests for the same model that it held when the call came
	MetricWarmth   = "warmth"   // 1 a copy stood loaded, 2 this call began a load, 3 it joined one, 4 the load failed
)

// AdmissionField is the trailer by which a worker promises that a call never ran there.
const AdmissionField = "worker-admission"

// Its values.
const (
	AdmissionFull     = "full"     // no room, in the queue or in memory
	AdmissionDraining = "draining" // the worker takes nothing new
	AdmissionMissing  = "missing"  // the model is not loaded there and nothing loads it
)

// Report is a worker's report of its load. A negative field was not reported.
type Report struct {
	InFlight, Queue, Loading, Copies, Company float64
	Warmth                                    int
}

// NoReport reports nothing.
var NoReport = Report{InFlight: -1, Queue: -1, Loading: -1, Copies: -1, Company: -1}

// ReportOf reads the report in a call's trailers. Where there is none, or none that can be read, it reports
// nothing: a worker's account of itself is never a reason to fail a call.
func ReportOf(trailers []hpack.Field) (Report, error) {
	v, ok := grpc.FieldValue(trailers, ReportField)
	if !ok {
		return NoReport, nil
	}
	raw, err := grpc.DecodeBinaryHeader(v)
	if err != nil {
		return NoReport, fmt.Errorf("oip: %s: %w", ReportField, err)
	}
	var m orca.OrcaLoadReport
	if err := proto.Unmarshal(raw, &m); err != nil {
		return NoReport, fmt.Errorf("oip: %s: %w", ReportField, err)
	}
	r := NoReport
	for name, to := range map[string]*float64{MetricInFlight: &r.InFlight, MetricQueue: &r.Queue,
		MetricLoading: &r.Loading, MetricCopies: &r.Copies, MetricCompany: &r.Company} {
		if v, ok := m.NamedMetrics[name]; ok && v >= 0 && v < 1e9 {
			*to = v
		}
	}
	r.Warmth = int(min(max(m.NamedMetrics[MetricWarmth], 0), 4))
	return r, nil
}

// Field returns the trailer that carries a report.
func (r Report) Field() hpack.Field {
	m := &orca.OrcaLoadReport{NamedMetrics: map[string]float64{}}
	for name, v := range map[string]float64{MetricInFlight: r.InFlight, MetricQueue: r.Queue,
		MetricLoading: r.Loading, MetricCopies: r.Copies, MetricCompany: r.Company} {
		if v >= 0 {
			m.NamedMetrics[name] = v
		}
	}
	if r.Warmth > 0 {
		m.NamedMetrics[MetricWarmth] = float64(r.Warmth)
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		raw = nil // numbers always marshal
	}
	return hpack.Field{Name: ReportField, Value: grpc.EncodeBinaryHeader(raw)}
}

// Request is an inference call as a front took it: what passes on to a worker unchanged.
type Request struct {
	Message  []byte        // with its gRPC prefix, as it came
	Encoding string        // its grpc-encoding
	Accept   string        // encodings that the client takes
	Metadata []hpack.Field // the client's own
}

// Tail is the end of a response: the status that a client is told, and the worker's own trailers.
type Tail struct {
	Status   grpc.Status
	Trailers []hpack.Field
}
