package httprouter

import (
	"fmt"
	"testing"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// BenchmarkParseConfig measures parsing of a configuration with n workers, which happens at a start and at each reload.
func BenchmarkParseConfig(b *testing.B) {
	for _, n := range []int{60, 960, 3200} {
		b.Run(fmt.Sprint(n, " workers"), func(b *testing.B) {
			lines := make([]string, n)
			for i := range lines {
				lines[i] = fmt.Sprintf("w-%08x 127.0.0.1:1 active", i)
			}
			raw := []byte(configJSON("127.0.0.1:1", initialSnapshot(fakeplatform.EndpointsEvent(true, lines...))))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParseConfig(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
