package http2

import (
	"fmt"
	"strings"
	"testing"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// TestHeadersOverSeveralFrames sends a header list that takes several CONTINUATION frames.
func TestHeadersOverSeveralFrames(t *testing.T) {
	s, _ := startServer(t, Config{MaxHeaderListSize: 1 << 20, MaxHeaderBlockSize: 1 << 20})
	c, _ := dialServer(t, s, Config{})
	fields := append([]hpack.Field(nil), requestFields...)
	for i := range 60 {
		fields = append(fields, hpack.Field{Name: fmt.Sprintf("x-%d", i), Value: strings.Repeat("z", 900)})
	}
	r := newRecordingReceiver()
	if _, err := c.Open(r, fields, []byte("body"), true); err != nil {
		t.Fatal(err)
	}
	if err := receive(t, r.ended, "the end"); err != nil || r.body.String() != "body" {
		t.Fatalf("%q, %v", r.body.String(), err)
	}
}
