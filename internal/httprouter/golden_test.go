package httprouter

import (
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport/golden"
)

// TestGoldenConfig holds what is read of a configuration file with every key.
func TestGoldenConfig(t *testing.T) {
	config, err := LoadConfig("testdata/golden/config.json")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "config.txt", []byte(golden.PlainValue(config)+"\n"))
}
