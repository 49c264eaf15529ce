package fakepeer

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// Liar is an admitted member that takes part in the gossip as others do, and lies about workers. It verifies nothing.
type Liar struct {
	*agent.Agent
}

// NewLiar starts a liar's agent.
func NewLiar(c agent.Config) (*Liar, error) {
	a, err := agent.Start(c, blindRouter{})
	if err != nil {
		return nil, err
	}
	return &Liar{a}, nil
}

// ReportSilent reports workers, given with their start times, as silent.
func (l *Liar) ReportSilent(startTimes map[string]uint64) {
	l.SetWorkers(startTimes)
	for id := range startTimes {
		l.ReportSuspicion(dispatch.ReportSuspicion{Worker: id})
	}
}

// WithdrawReport reports a worker as alive that it reported as silent before.
func (l *Liar) WithdrawReport(worker string) { l.ReportAlive(worker) }

// blindRouter is a router that sees nothing.
type blindRouter struct{}

// VerifyWorker implements agent.Router: no worker can be checked.
func (blindRouter) VerifyWorker(_ string, _, _ time.Duration, done func(gossip.CheckResult)) {
	done(gossip.CheckSkipped)
}

// ApplyGossip implements agent.Router.
func (blindRouter) ApplyGossip(dispatch.GossipUpdate) {}
