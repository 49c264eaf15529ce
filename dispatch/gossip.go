package dispatch

// This file takes in what other routers reported, and reports suspicions to them.

// applyGossip takes what other routers reported. It ends no suspicion and raises no share: the routers that
// share the fleet are those of the settings, or more where more were seen, and stay so when they vanish, as
// they may only be cut off. A worker reported as unresponsive is suspected, unless this router has heard it
// since.
func (d *Dispatcher) applyGossip(e GossipUpdate) {
	if e.Routers > d.settings.Routers {
		factor := float64(d.settings.Routers) / float64(e.Routers)
		d.fleetShare, d.settings.Routers = d.fleetShare*factor, e.Routers
		for _, w := range d.workers {
			w.concurrencyLimit *= factor
		}
	}
	for _, id := range e.SuspectedWorkers {
		w := d.workers[id]
		if w != nil && w.State == EndpointActive && d.now-w.lastHeard > minSilence && !w.suspected {
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
