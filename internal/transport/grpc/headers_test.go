package grpc

import "testing"

func TestBinaryHeader(t *testing.T) {
	for _, s := range []string{"", "a", "ab", "abc", "\x00\xff\x80"} {
		if got, err := DecodeBinaryHeader(EncodeBinaryHeader([]byte(s))); err != nil || string(got) != s {
			t.Errorf("%q is decoded as %q, error %v", s, got, err)
		}
	}
	if got, err := DecodeBinaryHeader("YQ=="); err != nil || string(got) != "a" {
		t.Errorf("value with padding is decoded as %q, error %v", got, err)
	}
	if _, err := DecodeBinaryHeader("!!!"); err == nil {
		t.Error("a value that is not base64 is accepted")
	}
}
