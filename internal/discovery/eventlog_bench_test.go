package discovery

import (
	"fmt"
	"testing"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// BenchmarkUpdate measures the processing of a response that changes one worker of n, from its bytes to the update for
// the router.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{60, 960, 3200} {
		b.Run(fmt.Sprint(n, " workers"), func(b *testing.B) {
			lines := make([]string, n)
			for i := range lines {
				lines[i] = fmt.Sprintf("w-%08x 127.0.0.1:1 active", i)
			}
			first, err := ParsePollResponse([]byte(`{"cursor":1,"cmds":[{"cursor":1,` + fakeplatform.EndpointsEvent(true, lines...) + `}]}`))
			if err != nil {
				b.Fatal(err)
			}
			log := &eventLog{}
			if _, err := log.Apply(first, constantRouterTime); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				event := fakeplatform.EndpointsEvent(false, lines[i%n])
				response, err := ParsePollResponse(fmt.Appendf(nil, `{"cursor":%d,"cmds":[{"cursor":%d,%s}]}`, i+2, i+2, event))
				if err != nil {
					b.Fatal(err)
				}
				if update, err := log.Apply(response, constantRouterTime); update == nil || err != nil {
					b.Fatal(update, err)
				}
			}
		})
	}
}
