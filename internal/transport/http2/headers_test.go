package http2

import (
	"fmt"
	"strings"
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport"
	"github.com/topazfront/topazfront/internal/transport/hpack"
)

// TestHeadersOverSeveralFrames sends a header list that needs several CONTINUATION frames.
func TestHeadersOverSeveralFrames(t *testing.T) {
	s, _ := startServer(t, Config{MaxHeaderListSize: 1 << 20, MaxHeaderBlockSize: 1 << 20})
	c, _ := dialServer(t, s, Config{})
	fields := append([]hpack.Field(nil), requestFields...)
	for i := range 60 {
		fields = append(fields, hpack.Field{Name: fmt.Sprintf("x-%d", i), Value: strings.Repeat("z", 900)})
	}
	r := newRecordingReceiver()
	if _, err := c.OpenStream(r, fields, []byte("body"), true); err != nil {
		t.Fatal(err)
	}
	if err := testsupport.Await(t, r.ended, "the end"); err != nil || r.body.String() != "body" {
		t.Fatalf("response body %q, error %v", r.body.String(), err)
	}
}

// TestInvalidBytesInValues checks that CR, LF or NUL in the value of any field makes a request, a response and trailers
// malformed.
func TestInvalidBytesInValues(t *testing.T) {
	request := []hpack.Field{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/x"},
		{Name: ":authority", Value: "a"}, {Name: "x", Value: "y"}}
	response := []hpack.Field{{Name: ":status", Value: "200"}, {Name: "x", Value: "y"}}
	for name, list := range map[string]struct {
		fields []hpack.Field
		check  func([]hpack.Field) string
	}{
		"request":  {request, func(fields []hpack.Field) string { return checkHeaders(fields, true) }},
		"response": {response, func(fields []hpack.Field) string { return checkHeaders(fields, false) }},
		"trailers": {response[1:], checkTrailers},
	} {
		t.Run(name, func(t *testing.T) {
			if reason := list.check(list.fields); reason != "" {
				t.Errorf("valid fields %v are rejected: %s", list.fields, reason)
			}
			for i := range list.fields {
				for _, invalid := range []string{"\r", "\n", "\x00"} {
					fields := append([]hpack.Field(nil), list.fields...)
					fields[i].Value += invalid + "z"
					if list.check(fields) == "" {
						t.Errorf("invalid fields are accepted: %v", fields)
					}
				}
			}
		})
	}
}
