package growth

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeplatform"
	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	callDeadline    = 2 * time.Second
	clientIdleTime  = 3 * time.Second // clients close connections that were idle for so long
	maxIdleClients  = 64              // connections
	popularityPower = 1.1             // of the functions' Zipf distribution
	popularityShift = 2
)

// traffic makes calls to one router at random times.
type traffic struct {
	client  *fakeplatform.Client
	number  int // of the router
	options Options
	made    atomic.Int64
	served  atomic.Int64
}

func newTraffic(o Options, number int, address string) *traffic {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleClients, IdleConnTimeout: clientIdleTime}
	return &traffic{number: number, options: o, client: &fakeplatform.Client{BaseURL: "http://" + address,
		Records: invariants.NewLog(), HTTPClient: &http.Client{Transport: transport}}}
}

// run makes calls for Options.Duration, or until ctx is done, and returns when all of them have ended. Their times and
// functions depend on the seed alone.
func (t *traffic) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(t.options.Seed, uint64(t.number)))
	popularity := rand.NewZipf(rng, popularityPower, popularityShift, uint64(t.options.Functions-1))
	var calls sync.WaitGroup
	defer calls.Wait()
	startedAt := time.Now()
	at := time.Duration(0)
	for call := 0; ; call++ {
		at += time.Duration(rng.ExpFloat64() / t.options.CallsPerSecond * float64(time.Second))
		if at > t.options.Duration {
			return
		}
		function := fmt.Sprintf("%016x", popularity.Uint64()+1)
		id := fmt.Sprintf("%08x%08x", t.number+1, call)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startedAt.Add(at))):
		}
		t.made.Add(1)
		calls.Go(func() {
			if status, _ := t.client.Call(id, classes[call%len(classes)], function, callDeadline); status == http.StatusOK {
				t.served.Add(1)
			}
		})
	}
}

// shareServed returns the share of the calls that were served.
func (t *traffic) shareServed() float64 {
	return float64(t.served.Load()) / float64(max(t.made.Load(), 1))
}
