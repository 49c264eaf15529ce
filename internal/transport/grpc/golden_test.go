package grpc

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/testsupport/golden"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// TestGolden compares request headers, status trailers, timeouts, message prefixes and error texts with a golden file.
func TestGolden(t *testing.T) {
	var got strings.Builder
	formatFields := func(fields []hpack.Field) string {
		var pairs []string
		for _, f := range fields {
			pairs = append(pairs, fmt.Sprintf("%s=%q", f.Name, f.Value))
		}
		return strings.Join(pairs, " ")
	}
	encoder := hpack.NewEncoder()
	recordBlock := func(name string, fields []hpack.Field) {
		block := encoder.BeginBlock(nil)
		for _, f := range fields {
			block = encoder.AppendField(block, f)
		}
		fmt.Fprintf(&got, "%s: %s %x\n", name, formatFields(fields), block)
	}
	for range 2 { // the second round refers to entries of the dynamic table
		recordBlock("request headers", RequestHeaders("worker", "/inference.GRPCInferenceService/ModelInfer", 1500*time.Millisecond))
		for code := OK; code <= Unauthenticated+1; code++ {
			recordBlock("trailers", Status{Code: code}.Trailers())
			recordBlock("trailers", Status{Code: code, Message: "50% of α\n"}.Trailers())
		}
		recordBlock("trailers", Status{Code: 4000000000}.Trailers())
	}
	for _, fields := range [][]hpack.Field{nil, {{Name: "grpc-status", Value: "x"}},
		{{Name: "grpc-status", Value: "14"}, {Name: "grpc-message", Value: "a%21%zz"}}} {
		fmt.Fprintf(&got, "status of %s: %q\n", formatFields(fields), StatusFromTrailers(fields).Error())
	}
	for _, status := range []string{"200", "400", "401", "403", "404", "429", "500", "502", "503", "504"} {
		fmt.Fprintf(&got, "status of HTTP %s: %q\n", status, StatusFromHTTP(status).Error())
	}
	for _, d := range []time.Duration{-1, 0, 1, 99999999, 1e8, 1234567 * time.Millisecond, 400 * time.Hour, math.MaxInt64} {
		fmt.Fprintf(&got, "timeout of %d ns: %s\n", d, FormatTimeout(d))
	}
	fmt.Fprintf(&got, "prefixes: %x %x\n", AppendPrefix(nil, 258, false), AppendPrefix(nil, 1<<24, true))
	fmt.Fprintf(&got, "binary: %s %s\n", EncodeBinaryHeader([]byte{0, 255, 128}), EncodeBinaryHeader([]byte("a")))
	fmt.Fprintf(&got, "errors: %v; %v; %v; %v\n", ErrMalformedTimeout, ErrMessageTooLarge, ErrCompressedFlag, ErrTruncatedMessage)

	golden.Compare(t, "grpc.txt", []byte(got.String()))
}
