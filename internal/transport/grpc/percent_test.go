package grpc

import "testing"

func TestPercentEncoding(t *testing.T) {
	for name, test := range map[string]struct{ text, encoded string }{
		"plain text":                    {"plain text", "plain text"},
		"percent, other bytes, control": {"50% of α\n", "50%25 of %CE%B1%0A"},
		"empty":                         {"", ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := PercentEncode(test.text); got != test.encoded {
				t.Errorf("%q is encoded as %q", test.text, got)
			}
			if got := PercentDecode(test.encoded); got != test.text {
				t.Errorf("%q is decoded as %q", test.encoded, got)
			}
		})
	}
	for _, invalid := range []string{"%", "%4", "%zz", "100%"} {
		t.Run("invalid "+invalid+" is kept as it is", func(t *testing.T) {
			if got := PercentDecode(invalid); got != invalid {
				t.Errorf("%q is decoded as %q", invalid, got)
			}
		})
	}
}
