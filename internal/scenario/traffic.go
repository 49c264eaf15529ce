package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/topazfront/topazfront/internal/fake/fakeclient"
	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	hintSigma       = 0.2                   // of the log-normal error of a work hint
	minRetryTimeout = 10 * time.Millisecond // clients do not retry with less time before the deadline
)

// trafficSource draws requests. Each quantity has its own random stream, seeded from the scenario's seed.
type trafficSource struct {
	scenario      *Scenario
	interarrivals distuv.Exponential // times between arrivals, with mean 1
	choices       *rand.Rand
	classes       distuv.Categorical
	models        map[string]distuv.Categorical // by class
	work          map[string]distuv.LogNormal   // by class, in seconds
}

func newTrafficSource(s *Scenario) *trafficSource {
	t := &trafficSource{
		scenario:      s,
		interarrivals: distuv.Exponential{Rate: 1, Src: rand.NewPCG(s.Seed, randomArrivals)},
		choices:       rand.New(rand.NewPCG(s.Seed, randomChoices)),
		models:        map[string]distuv.Categorical{},
		work:          map[string]distuv.LogNormal{},
	}
	shares := make([]float64, 0, len(s.Classes))
	for _, c := range s.Classes {
		popularity := make([]float64, c.ModelCount)
		for i := range popularity {
			popularity[i] = 1 / math.Pow(float64(i+1), s.Traffic.ZipfExponent)
		}
		t.models[c.Name] = distuv.NewCategorical(popularity, rand.NewPCG(s.Seed, randomModels))
		mean := c.MeanWorkMS / 1000
		t.work[c.Name] = distuv.LogNormal{Mu: math.Log(mean) - c.WorkSigma*c.WorkSigma/2, Sigma: c.WorkSigma,
			Src: rand.NewPCG(s.Seed, randomWork)}
		shares = append(shares, c.TrafficShare)
	}
	t.classes = distuv.NewCategorical(shares, rand.NewPCG(s.Seed, randomClasses))
	return t
}

// generateTraffic sends requests at the scenario's rate until the scenario ends. Arrivals do not depend on answers.
func (h *Harness) generateTraffic(startedAt time.Time) {
	s := h.scenario
	source := newTrafficSource(s)
	at := time.Duration(0)
	for n := 0; ; n++ {
		h.mu.Lock()
		rate := s.Traffic.CallsPerSecond * h.trafficMultiple.value()
		firstRouterShare, newModelShare := h.firstRouterShare.value(), h.newModelShare.value()
		h.mu.Unlock()
		at += time.Duration(source.interarrivals.Rand() / rate * float64(time.Second))
		if at >= s.Length.Duration() {
			return
		}
		select {
		case <-h.options.Stop:
			return
		case <-time.After(time.Until(startedAt.Add(at))):
		}
		class := s.Classes[int(source.classes.Rand())]
		request := fakeclient.Request{ID: fmt.Sprintf("q%d", n), Class: class.Name, Messages: max(class.MessagesPerAnswer, 1),
			BytesPerMessage: class.BytesPerMessage}
		request.Model = modelName(class.Name, int(source.models[class.Name].Rand()))
		work := source.work[class.Name].Rand() * h.drawWorkMultiple(class.Name, source.choices)
		request.Work = time.Duration(work * float64(time.Second))
		if source.choices.Float64() < newModelShare {
			request.Model = newModelName(class.Name)
		}
		slot := h.routers[source.choices.IntN(len(h.routers))]
		if source.choices.Float64() < firstRouterShare {
			slot = h.routers[0]
		}
		request.Streamed = source.choices.Float64() < class.StreamedShare
		if s.Traffic.WorkHints {
			factor := math.Exp(hintSigma * source.choices.NormFloat64())
			request.WorkHint = time.Duration(work * factor * float64(time.Second))
		}
		h.statistics.requestStarted(class.Name)
		h.sendCall(&class, request, slot, startedAt.Add(at), 0)
	}
}

// drawWorkMultiple returns the factor for the work of a call of a class. It is 1 unless a heavy_tail fault is active.
func (h *Harness) drawWorkMultiple(class string, choices *rand.Rand) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if tails := h.heavyTails[class]; tails != nil && len(tails.active) > 0 {
		if tail := tails.value(); choices.Float64() < tail.share {
			return tail.multiple
		}
	}
	return 1
}

// sendCall sends a call of a request, and retries where the traffic's settings and the class allow it. due is the
// arrival time of the request; n is the number of its earlier calls.
func (h *Harness) sendCall(c *Class, request fakeclient.Request, slot *routerSlot, due time.Time, n int) {
	share := h.scenario.Traffic.CallTimeoutShare
	if share == 0 {
		share = 1
	}
	timeout := time.Duration(float64(c.Deadline.Duration()) * share)
	timeout = min(timeout, c.Deadline.Duration()-time.Since(due))
	slot.mu.Lock()
	client := slot.client
	slot.mu.Unlock()
	client.Call(request, fmt.Sprintf("%s.%d", request.ID, n), timeout, func(result fakeclient.Result) {
		wait := max(result.RetryAfter, h.scenario.Traffic.Backoff.Duration()<<n)
		timeLeft := time.Since(due)+wait < c.Deadline.Duration()-minRetryTimeout
		if !mayRetry(c, result) || n >= h.scenario.Traffic.MaxRetries || !timeLeft {
			h.statistics.requestEnded(c, result, time.Since(due), n+1)
			return
		}
		next := slot
		if !result.Answered { // retry at another router, as a load balancer in front of the routers would
			next = h.routers[(slot.index+1)%len(h.routers)]
		}
		time.AfterFunc(wait, func() { h.sendCall(c, request, next, due, n+1) })
	})
}

// mayRetry reports whether a client may repeat a call: always after a rejection; after a failure or without an answer
// only if the class is idempotent and the router has not forbidden it by a negative Retry-After.
func mayRetry(c *Class, result fakeclient.Result) bool {
	switch {
	case !result.Answered:
		return c.Idempotency == idempotent
	case result.Answer == invariants.Rejected:
		return true
	default:
		return result.Answer == invariants.Failed && result.RetryAfter >= 0 && c.Idempotency == idempotent
	}
}
