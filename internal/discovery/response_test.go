package discovery

import (
	"testing"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// FuzzParsePollResponse checks that no response causes a panic, and that the endpoints of a valid response have an ID
// and an address.
func FuzzParsePollResponse(f *testing.F) {
	f.Add([]byte(`{"cursor":1,"cmds":[{"cursor":1,` + fakeplatform.EndpointsEvent(true, "a 1.1.1.1:1 active") + `}]}`))
	f.Add([]byte(`{"cursor":1,"cmds":[{"cursor":null}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		response, err := ParsePollResponse(raw)
		if err != nil {
			return
		}
		list := endpointList{}
		if update, err := (&eventLog{}).Apply(response, constantRouterTime); err == nil {
			list.apply(update)
			for _, worker := range list {
				if worker.ID == "" || worker.Address == "" {
					t.Fatalf("unusable worker %+v", worker)
				}
			}
		}
	})
}
