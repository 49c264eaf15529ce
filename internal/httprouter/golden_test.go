package httprouter

import (
	"testing"

	"github.com/topazfront/topazfront/internal/testsupport/golden"
)

// TestGoldenConfig compares the Config parsed from a file with every key to a golden file.
func TestGoldenConfig(t *testing.T) {
	config, err := LoadConfig("testdata/golden/config.json")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "config.txt", []byte(golden.PlainValue(config)+"\n"))
}
