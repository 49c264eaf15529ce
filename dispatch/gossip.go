package dispatch

// This file takes in what other routers reported, and reports suspicions to them.

// applyGossip takes what other routers reported. It ends no suspicion and raises no share: the routers that
// share the fleet are those of the settings, or more where more were seen. Routers that vanish still count,
// as they may only be partitioned from this one. A worker reported as unresponsive is suspected, unless it
// has responded here meanwhile.
func (d *Dispatcher) applyGossip(e GossipUpdate) {
	if e.Routers > d.settings.Routers {
		factor := float64(d.settings.Routers) / float64(e.Routers)
		d.fleetShare *= factor
		d.settings.Routers = e.Routers
		for _, w := range d.workers {
			w.concurrencyLimit *= factor
		}
	}
	for _, id := range e.SuspectedWorkers {
		w := d.workers[id]
		if w == nil || w.State != EndpointActive || w.suspected {
			continue
		}
		if silence := d.now - w.lastResponseAt; silence > minSilence {
			d.suspect(w)
		}
	}
}

// reportSuspicion emits a suspicion where the settings want it.
func (d *Dispatcher) reportSuspicion(a ReportSuspicion) {
	if d.settings.SuspicionsReported {
		d.emit(a)
	}
}
