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
	minRetryTimeout = 10 * time.Millisecond // a retry that would have less time than this is not made
)

// trafficSource draws requests. Each quantity has a random stream of its own, drawn from the scenario's seed.
type trafficSource struct {
	scenario *Scenario
	gaps     distuv.Exponential // between arrivals, of mean 1
	choices  *rand.Rand
	classes  distuv.Categorical
	models   map[string]distuv.Categorical // by class
	work     map[string]distuv.LogNormal   // by class, in seconds
}

func newTrafficSource(s *Scenario) *trafficSource {
	t := &trafficSource{
		scenario: s,
		gaps:     distuv.Exponential{Rate: 1, Src: rand.NewPCG(s.Seed, randomArrivals)},
		choices:  rand.New(rand.NewPCG(s.Seed, randomChoices)),
		models:   map[string]distuv.Categorical{},
		work:     map[string]distuv.LogNormal{},
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

// generateTraffic sends requests at the scenario's rate until it ends. Arrivals don't wait for answers.
func (h *Harness) generateTraffic(startedAt time.Time) {
	s := h.scenario
	source := newTrafficSource(s)
	at := time.Duration(0)
	for n := 0; ; n++ {
		h.mu.Lock()
		rate := s.Traffic.CallsPerSecond * h.trafficMultiple.value()
		firstRouterShare, newModelShare := h.firstRouterShare.value(), h.newModelShare.value()
		h.mu.Unlock()
		at += time.Duration(source.gaps.Rand() / rate * float64(time.Second))
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
		work := source.work[class.Name].Rand() * h.drawTail(class.Name, source.choices)
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

// drawTail is what a class's work is multiplied by while a heavy_tail fault lasts, and else 1.
func (h *Harness) drawTail(class string, choices *rand.Rand) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if tails := h.heavyTails[class]; tails != nil && len(tails.active) > 0 {
		if tail := tails.value(); choices.Float64() < tail.share {
			return tail.multiple
		}
	}
	return 1
}

// sendCall sends one call of a request, and another after it where the traffic's settings and the class allow a retry.
// due is when the request arrived; n counts the calls before this one.
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
		if !result.Answered { // as a load balancer in front would, by sending it to another router
			next = h.routers[(slot.index+1)%len(h.routers)]
		}
		time.AfterFunc(wait, func() { h.sendCall(c, request, next, due, n+1) })
	})
}

// mayRetry reports whether a client repeats a call: after a rejection always, after a failure or no answer only where
// that does no harm and the router did not forbid it.
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
