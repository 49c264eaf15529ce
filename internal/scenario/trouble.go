package scenario

import (
	"time"

	"github.com/topazfront/topazfront/internal/fake/fakeworker"
	"github.com/topazfront/topazfront/internal/invariants"
)

// some draws the part of the workers that a trouble concerns, at least one.
func (r *Rig) some(part float64) (out []*member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var up []*member
	for _, m := range r.members {
		if !m.hidden && m.line.State == "on" && !m.w.Down() {
			up = append(up, m)
		}
	}
	n := max(int(part*float64(len(up))+0.5), 1)
	for _, i := range r.rng.Perm(len(up))[:min(n, len(up))] {
		out = append(out, up[i])
	}
	return out
}

func (r *Rig) classOf(t Trouble) string {
	if t.Class != "" {
		return t.Class
	}
	return r.script.Classes[0].Name
}

// begin starts a trouble; what ends it runs when its time is over.
func (r *Rig) begin(t Trouble) {
	r.opt.Log.Info("trouble", "kind", t.Kind, "part", t.Part, "size", t.Size, "class", t.Class)
	r.mu.Lock()
	r.troubles[t.Kind]++
	r.mu.Unlock()
	end := r.trouble(t)
	r.later(t.For.D(), func() {
		end()
		r.mu.Lock()
		r.troubles[t.Kind]--
		r.mu.Unlock()
	})
}

// set changes a value of the rig and returns what puts it back.
func set[T any](r *Rig, at *T, v T) func() {
	r.mu.Lock()
	old := *at
	*at = v
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		*at = old
		r.mu.Unlock()
	}
}

// fault switches a fault of some workers on and returns what switches it off.
func (r *Rig) fault(part float64, on, off func(*fakeworker.Faults)) func() {
	return faulty(r.some(part), on, off)
}

func faulty(list []*member, on, off func(*fakeworker.Faults)) func() {
	for _, m := range list {
		m.w.Set(on)
	}
	return func() {
		for _, m := range list {
			m.w.Set(off)
		}
	}
}

func (r *Rig) trouble(t Trouble) (end func()) {
	class := r.classOf(t)
	nothing := func() {}
	switch t.Kind {
	case "burst":
		return set(r, &r.rate, max(t.Size, 0.1))
	case "discovery_stale":
		return set(r, &r.late, time.Duration(t.Size*float64(time.Second)))
	case "hot_key":
		return set(r, &r.hot, t.Part)
	case "shift":
		set(r, &r.toOne, t.Part)
		return nothing
	case "heavy_tail":
		r.mu.Lock()
		r.tail[class] = t
		r.mu.Unlock()
		return func() {
			r.mu.Lock()
			delete(r.tail, class)
			r.mu.Unlock()
		}
	case "hang":
		list := r.some(t.Part)
		now := r.log.Now()
		r.mu.Lock()
		for _, m := range list {
			r.silences = append(r.silences, silent{m.w.ID(), now, now + t.For.D()})
		}
		r.mu.Unlock()
		return faulty(list, func(f *fakeworker.Faults) { f.Hang = true }, func(f *fakeworker.Faults) { f.Hang = false })
	case "slow", "neighbour":
		return r.fault(t.Part, func(f *fakeworker.Faults) { f.Slow = t.Size }, func(f *fakeworker.Faults) { f.Slow = 0 })
	case "class_fail":
		return r.fault(t.Part, func(f *fakeworker.Faults) { f.FailClass = map[string]bool{class: true} },
			func(f *fakeworker.Faults) { f.FailClass = nil })
	case "throttle":
		return r.fault(t.Part, func(f *fakeworker.Faults) {
			f.Throttle, f.ThrottleLag = map[string]float64{class: t.Size}, 100*time.Millisecond
		}, func(f *fakeworker.Faults) { f.Throttle = nil })
	case "handshake_slow":
		d := time.Duration(t.Size * float64(time.Second))
		return r.fault(t.Part, func(f *fakeworker.Faults) { f.Handshake = d }, func(f *fakeworker.Faults) { f.Handshake = 0 })
	case "flush":
		r.mu.Lock()
		void := map[string]bool{}
		for name := range r.models {
			void[name] = false
		}
		for _, c := range r.script.Classes { // in the script's order, so that a seed draws the same
			for i := range c.Models {
				void[modelName(c.Name, i)] = r.rng.Float64() < t.Part
			}
		}
		members := append([]*member(nil), r.members...)
		r.mu.Unlock()
		for _, m := range members {
			m.w.Void(func(name string) bool { return void[name] })
		}
		return nothing
	case "pauses":
		list := r.some(t.Part)
		d := time.Duration(t.Size * float64(time.Second))
		for at := time.Duration(0); at < t.For.D(); at += time.Second {
			r.later(at, func() {
				for _, m := range list {
					m.w.Pause(d)
				}
			})
		}
		return nothing
	case "store_stop":
		r.store.Stop(t.For.D())
		return nothing
	case "vanish":
		list := r.some(t.Part)
		for _, m := range list {
			m.w.Kill()
		}
		return func() { r.restart(list) }
	case "mid_stream":
		list := r.some(t.Part)
		for _, m := range list {
			m.w.Set(func(f *fakeworker.Faults) { f.DieAfter = map[string]int{class: int(t.Size)} })
		}
		return func() {
			for _, m := range list {
				m.w.Set(func(f *fakeworker.Faults) { f.DieAfter = nil })
			}
			r.restart(list)
		}
	case "preempt":
		r.preempt(t)
		return nothing
	case "goaway":
		list := r.some(t.Part)
		for _, m := range list {
			m.w.Drain(true)
		}
		return func() {
			for _, m := range list {
				m.w.Resume()
			}
		}
	case "balancer_roll":
		r.roll(t)
		return nothing
	}
	return nothing
}

// restart begins the dead ones of some workers anew, cold, under their old names.
func (r *Rig) restart(list []*member) {
	for _, m := range list {
		if !m.w.Down() {
			continue
		}
		if err := m.w.Restart(); err != nil {
			r.opt.Log.Error("worker not restarted", "worker", m.w.ID(), "error", err)
			continue
		}
		at := m.w.Started()
		r.mu.Lock()
		m.line.StartedAt, m.hidden = &at, false
		r.mu.Unlock()
	}
	r.publish()
}

// preempt takes workers away: listed as draining, dead a while later, replaced by new ones that start cold.
func (r *Rig) preempt(t Trouble) {
	list := r.some(t.Part)
	r.mu.Lock()
	for _, m := range list {
		m.line.State = "draining"
	}
	r.mu.Unlock()
	for _, m := range list {
		m.w.Drain(false)
	}
	r.publish()
	notice := time.Duration(t.Size * float64(time.Second))
	r.later(notice, func() {
		for _, m := range list {
			m.w.Kill()
		}
	})
	r.later(notice+t.For.D()/2, func() {
		for range list {
			r.mu.Lock()
			place := r.made
			r.mu.Unlock()
			if _, err := r.hire(place, true); err != nil {
				r.opt.Log.Error("no replacement", "error", err)
			}
		}
		r.publish()
	})
}

// roll kills some routers one after another and starts each anew with nothing but its last list.
func (r *Rig) roll(t Trouble) {
	n := max(int(t.Part*float64(len(r.routers))+0.5), 1)
	r.mu.Lock()
	order := r.rng.Perm(len(r.routers))[:n]
	r.mu.Unlock()
	for k, i := range order {
		sl := r.routers[i]
		r.later(t.For.D()*time.Duration(k)/time.Duration(n), func() {
			sl.mu.Lock()
			g, c, name := sl.g, sl.client, sl.name
			sl.mu.Unlock()
			if r.party != nil {
				r.party.retire(g)
			}
			r.log.Add(invariants.Record{Kind: invariants.RouterDown, Router: name})
			g.Kill()
			c.Close()
			if err := r.launch(sl); err != nil {
				r.opt.Log.Error("router not restarted", "router", name, "error", err)
			}
		})
	}
}
