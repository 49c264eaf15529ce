package registry

import (
	"errors"
	"strings"
	"testing"
)

func TestValidNamesAreAccepted(t *testing.T) {
	for _, valid := range []string{"a", "quote-7", "v1.2.3", "x_y", strings.Repeat("a", 64)} {
		if err := ValidateName("plug-in", valid); err != nil {
			t.Error(err)
		}
	}
}

func TestInvalidNamesAreRejected(t *testing.T) {
	for _, invalid := range []string{"", "..", "../a", "a/b", "a\\b", "a..b", ".a", "a.", "-a", "A", "a b", "a\x00",
		"а" /* Cyrillic */, "a\u200b", strings.Repeat("a", 65), strings.Repeat("a", 1<<20), "a\n", "%2e"} {
		if err := ValidateName("plug-in", invalid); !errors.Is(err, ErrInvalidArgument) || len(err.Error()) > 600 {
			t.Errorf("%.20q: %.200v", invalid, err)
		}
	}
}

func TestParseDigest(t *testing.T) {
	digest := Digest{1, 0xab}
	if got, err := ParseDigest(digest.String()); err != nil || got != digest {
		t.Errorf("%v, %v", got, err)
	}
	text := digest.String()
	for _, invalid := range []string{"", text[1:], strings.ToUpper(text), strings.Replace(text, "0", "g", 1)} {
		if _, err := ParseDigest(invalid); !errors.Is(err, ErrInvalidArgument) {
			t.Errorf("%q: %v", invalid, err)
		}
	}
}
