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
	callDeadline      = 2 * time.Second
	clientIdleTimeout = 3 * time.Second // clients close connections that have been idle for this long
	maxIdleConns      = 64              // per client
	zipfExponent      = 1.1             // parameter s of the functions' Zipf distribution, see rand.NewZipf
	zipfOffset        = 2               // parameter v of the same distribution
)

// traffic makes calls to a router at random times.
type traffic struct {
	client      *fakeplatform.Client
	number      int // number of the router
	options     Options
	callsMade   atomic.Int64
	callsServed atomic.Int64
}

func newTraffic(o Options, number int, address string) *traffic {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: clientIdleTimeout}
	return &traffic{number: number, options: o, client: &fakeplatform.Client{BaseURL: "http://" + address,
		Records: invariants.NewLog(), HTTPClient: &http.Client{Transport: transport}}}
}

// run makes calls for Options.Duration or until ctx is done, and returns when all of them have ended. The times of the
// calls and their functions depend only on the seed and the router's number.
func (t *traffic) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(t.options.Seed, uint64(t.number)))
	popularity := rand.NewZipf(rng, zipfExponent, zipfOffset, uint64(t.options.Functions-1))
	var calls sync.WaitGroup
	defer calls.Wait()
	startedAt := time.Now()
	callTime := time.Duration(0)
	for call := 0; ; call++ {
		callTime += time.Duration(rng.ExpFloat64() / t.options.CallsPerSecond * float64(time.Second))
		if callTime > t.options.Duration {
			return
		}
		function := fmt.Sprintf("%016x", popularity.Uint64()+1)
		id := fmt.Sprintf("%08x%08x", t.number+1, call)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startedAt.Add(callTime))):
		}
		t.callsMade.Add(1)
		calls.Go(func() {
			if status, _ := t.client.Call(id, classes[call%len(classes)], function, callDeadline); status == http.StatusOK {
				t.callsServed.Add(1)
			}
		})
	}
}

// shareServed returns the share of calls that were served.
func (t *traffic) shareServed() float64 {
	return float64(t.callsServed.Load()) / float64(max(t.callsMade.Load(), 1))
}
