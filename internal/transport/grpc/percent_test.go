package grpc

import "testing"

func TestPercentEncoding(t *testing.T) {
	for text, encoded := range map[string]string{"plain text": "plain text", "50% of α\n": "50%25 of %CE%B1%0A", "": ""} {
		if got := PercentEncode(text); got != encoded {
			t.Errorf("%q is encoded as %q", text, got)
		}
		if got := PercentDecode(encoded); got != text {
			t.Errorf("%q is decoded as %q", encoded, got)
		}
	}
	for _, invalid := range []string{"%", "%4", "%zz", "100%"} { // kept as it is
		if got := PercentDecode(invalid); got != invalid {
			t.Errorf("%q is decoded as %q", invalid, got)
		}
	}
}
