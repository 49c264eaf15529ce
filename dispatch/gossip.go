package dispatch

// This file applies the reports of other routers and reports suspicions to them.

// applyGossip applies reports of other routers. They never end a suspicion and never raise the limits of this
// router: the number of routers that share the fleet is that of the settings, or the highest number seen if
// that is higher. Routers that vanish still count, because they may only be partitioned from this one. A
// worker that is reported as unresponsive is suspected, unless it has responded to this router recently.
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

// reportSuspicion emits a suspicion if the settings ask for these reports.
func (d *Dispatcher) reportSuspicion(a ReportSuspicion) {
	if d.settings.SuspicionsReported {
		d.emit(a)
	}
}
