package fakepeer

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/gossip"
	"github.com/topazfront/topazfront/internal/gossip/agent"
)

// Liar is an admitted member that gossips according to the protocol but makes false statements about workers. It does
// not check workers itself.
type Liar struct {
	*agent.Agent
}

// NewLiar starts the gossip agent of a liar.
func NewLiar(c agent.Config) (*Liar, error) {
	a, err := agent.Start(c, unconnectedRouter{})
	if err != nil {
		return nil, err
	}
	return &Liar{a}, nil
}

// ReportSilent reports workers as silent. startTimes has their start times, by worker.
func (l *Liar) ReportSilent(startTimes map[string]uint64) {
	l.SetWorkers(startTimes)
	for id := range startTimes {
		l.ReportSuspicion(dispatch.ReportSuspicion{Worker: id})
	}
}

// WithdrawReport reports a worker as alive after ReportSilent reported it as silent.
func (l *Liar) WithdrawReport(worker string) { l.ReportAlive(worker) }

// unconnectedRouter is a router without connections to workers.
type unconnectedRouter struct{}

// VerifyWorker implements agent.Router. It skips the check.
func (unconnectedRouter) VerifyWorker(_ string, _, _ time.Duration, done func(gossip.CheckResult)) {
	done(gossip.CheckSkipped)
}

// ApplyGossip implements agent.Router. It ignores the update.
func (unconnectedRouter) ApplyGossip(dispatch.GossipUpdate) {}
