package httprouter

import (
	"testing"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
)

// discoveryFault is a fault of the discovery server.
type discoveryFault struct {
	begin func(*fakeplatform.DiscoveryServer)
	end   func(*fakeplatform.DiscoveryServer) error // nil: the fault lasts, and updates must be applied in spite of it
}

// respondWith returns the begin function of a fault in which the server calls respond for each poll.
func respondWith(respond func(poll int, body string) (raw string, hold bool)) func(*fakeplatform.DiscoveryServer) {
	return func(s *fakeplatform.DiscoveryServer) { s.SetRespond(respond) }
}

func respondNormally(s *fakeplatform.DiscoveryServer) error {
	s.SetRespond(nil)
	return nil
}

// discoveryFaults returns the faults by name.
func discoveryFaults() map[string]discoveryFault {
	return map[string]discoveryFault{
		"down":   {(*fakeplatform.DiscoveryServer).Suspend, (*fakeplatform.DiscoveryServer).Resume},
		"silent": {respondWith(func(int, string) (string, bool) { return "", true }), respondNormally},
		"cut off": {respondWith(func(int, string) (string, bool) {
			return "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{", false
		}), respondNormally},
		"crowded": {respondWith(func(poll int, _ string) (string, bool) {
			if poll%8 == 0 {
				return "", false
			}
			return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false
		}), nil},
		"slow": {respondWith(func(int, string) (string, bool) {
			time.Sleep(2 * time.Second)
			return "", false
		}), nil},
	}
}

// TestDiscoveryFaults has a worker drain during a fault of the discovery server. It guards against calls that fail
// because of the fault, and against an update that is lost: the router must learn of the drain when the fault ends, or
// during it if it lasts.
func TestDiscoveryFaults(t *testing.T) {
	t.Parallel()
	const (
		rounds     = 8 // during the fault
		roundPause = 50 * time.Millisecond
	)
	for name, fault := range discoveryFaults() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, harnessOptions{})
			h.makeCalls(4)
			fault.begin(h.discovery)
			h.discovery.AddEvent(fakeplatform.EndpointsEvent(false, "a "+h.workers[0].Addr()+" leaving"))
			for range rounds {
				if served := h.makeCalls(2); served < 6 {
					t.Errorf("%d of 6 served", served)
				}
				time.Sleep(roundPause)
			}
			if fault.end != nil {
				if err := fault.end(h.discovery); err != nil {
					t.Skip("another process took the address:", err)
				}
			}
			h.awaitEndpoints()
			h.recordDrain("a")
			h.requireServedWithoutDraining(h.workers[0], 6)
			h.requireInvariants()
		})
	}
}
