package httprouter

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// discoveryFault is trouble of the discovery server.
type discoveryFault struct {
	begin func(*fakeplatform.DiscoveryServer)
	end   func(*fakeplatform.DiscoveryServer) error // nil: the trouble lasts, and updates must be applied all the same
}

// respondInTrouble returns a fault in which the server responds to polls by a function.
func respondInTrouble(respond func(poll int, body string) (raw string, hold bool)) func(*fakeplatform.DiscoveryServer) {
	return func(s *fakeplatform.DiscoveryServer) { s.SetRespond(respond) }
}

func respondAgain(s *fakeplatform.DiscoveryServer) error {
	s.SetRespond(nil)
	return nil
}

// discoveryFaults are the faults by name.
func discoveryFaults() map[string]discoveryFault {
	return map[string]discoveryFault{
		"down":   {(*fakeplatform.DiscoveryServer).Suspend, (*fakeplatform.DiscoveryServer).Resume},
		"silent": {respondInTrouble(func(int, string) (string, bool) { return "", true }), respondAgain},
		"cut off": {respondInTrouble(func(int, string) (string, bool) {
			return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{", false
		}), respondAgain},
		"crowded": {respondInTrouble(func(poll int, _ string) (string, bool) {
			if poll%8 == 0 {
				return "", false
			}
			return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false
		}), nil},
		"slow": {respondInTrouble(func(int, string) (string, bool) {
			time.Sleep(2 * time.Second)
			return "", false
		}), nil},
	}
}

// TestDiscoveryFaults has a worker drain while discovery is in trouble. All calls are served meanwhile, and the drain is
// known once the trouble is over, or in spite of it where it lasts.
func TestDiscoveryFaults(t *testing.T) {
	t.Parallel()
	const (
		rounds     = 8 // under the fault
		roundPause = 50 * time.Millisecond
	)
	for name, fault := range discoveryFaults() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, harnessOptions{})
			h.calls(4)
			fault.begin(h.discovery)
			h.discovery.AddEvent(fakeplatform.EndpointsEvent(false, "a "+h.workers[0].Addr()+" leaving"))
			for range rounds {
				if served := h.calls(2); served < 6 {
					t.Errorf("%d of 6 served", served)
				}
				time.Sleep(roundPause)
			}
			if fault.end != nil {
				if err := fault.end(h.discovery); err != nil {
					t.Skip("the address was taken by another process:", err)
				}
			}
			h.awaitEndpoints()
			h.recordDrain("a")
			h.requireServedWithoutDraining(h.workers[0], 6)
			h.requireInvariants()
		})
	}
}
