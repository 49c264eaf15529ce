package grpc

import (
	"testing"

	"github.com/topazfront/topazfront/internal/transport/hpack"
)

func TestStatus(t *testing.T) {
	for _, c := range []struct {
		name   string
		fields []hpack.Field
		code   Code
	}{
		{"OK", []hpack.Field{{Name: "grpc-status", Value: "0"}}, OK},
		{"with a message", []hpack.Field{{Name: "grpc-status", Value: "14"}, {Name: "grpc-message", Value: "gone%21"}}, Unavailable},
		{"malformed", []hpack.Field{{Name: "grpc-status", Value: "x"}}, Unknown},
		{"missing", nil, Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := StatusFromTrailers(c.fields); got.Code != c.code {
				t.Errorf("%v: status %v", c.fields, got)
			}
		})
	}
	t.Run("round trip", func(t *testing.T) {
		want := Status{Internal, "a\tb"}
		if got := StatusFromTrailers(want.Trailers()); got != want {
			t.Errorf("status %v after a round trip", got)
		}
	})
	for httpStatus, want := range map[string]Code{"503": Unavailable, "404": Unimplemented, "200": Unknown} {
		t.Run("HTTP "+httpStatus, func(t *testing.T) {
			if got := StatusFromHTTP(httpStatus).Code; got != want {
				t.Errorf("code %v, the specification requires %v", got, want)
			}
		})
	}
}
