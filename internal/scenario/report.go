package scenario

import (
	"encoding/json"
	"os"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

const (
	// reportedViolations is how many violations a report describes; all are counted.
	reportedViolations = 100
	// responseGrace is how long after its deadline a final answer may reach the client.
	responseGrace = 250 * time.Millisecond
	// recordingDelay is the longest time allowed between sending and recording a message.
	recordingDelay = 250 * time.Millisecond
)

// Report is the result of a scenario.
type Report struct {
	Scenario            string        `json:"day"`
	Seed                uint64        `json:"seed"`
	Length              float64       `json:"length_s"`
	Routers             int           `json:"routers"`
	Workers             int           `json:"workers"`
	ServedValueFraction float64       `json:"service"` // value of served requests over value of all requests
	Classes             []ClassReport `json:"classes"`
	Attempts            int           `json:"attempts"`
	LoadCommands        int           `json:"load_orders"`
	StoreFetches        int           `json:"store_fetches"`
	StoreRejections     int           `json:"store_refusals"`
	Faults              []string      `json:"troubles"`
	Records             int           `json:"records"`
	Violations          []string      `json:"breaches"` // the first reportedViolations of them
	ViolationsByRule    [5]int        `json:"breaches_by_rule"`
	Hangs               *HangReport   `json:"silence,omitempty"`
	Gossip              *GossipReport `json:"gossip,omitempty"`
}

// ClassReport holds the figures of a class. Response times are in seconds, over the served requests, from the scheduled
// arrival of each request.
type ClassReport struct {
	Class        string  `json:"class"`
	Idempotency  string  `json:"effect"`
	Requests     int     `json:"asked"`
	ServedOnTime int     `json:"served_in_aim"`
	ServedLate   int     `json:"served_late"`
	Rejected     int     `json:"refused"`
	Failed       int     `json:"failed"`
	Unanswered   int     `json:"lost_with_a_router"`
	Calls        int     `json:"tries"`
	Messages     int     `json:"messages"`
	P50          float64 `json:"p50_s"`
	P99          float64 `json:"p99_s"`
}

// RulesSatisfied reports whether no rule was violated.
func (r *Report) RulesSatisfied() bool { return r.ViolationsByRule == [5]int{} }

// Save writes the report as JSON.
func (r *Report) Save(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// report counts the records and checks the rules. The routers must have stopped.
func (h *Harness) report() *Report {
	s := h.scenario
	records := h.records.Records()
	report := &Report{Scenario: s.Name, Seed: s.Seed, Length: float64(s.Length), Routers: s.Routers, Workers: s.Fleet.Workers,
		Records: len(records), Violations: []string{}, Faults: []string{}}
	report.Classes, report.ServedValueFraction = h.statistics.report(s.Classes)
	for _, r := range records {
		switch {
		case r.Kind == invariants.AttemptReceived:
			report.Attempts++
		case r.Kind == invariants.LoadCommandReceived && r.Copies > 0:
			report.LoadCommands++
		}
	}
	if len(h.hangs) > 0 {
		report.Hangs = reportHangs(h.hangs, records)
	}
	report.StoreFetches, report.StoreRejections = h.store.Totals()
	for _, f := range s.Faults {
		report.Faults = append(report.Faults, f.Kind)
	}
	for _, v := range invariants.Check(h.checkerSettings(), records) {
		report.ViolationsByRule[v.Rule-1]++
		if len(report.Violations) < reportedViolations {
			report.Violations = append(report.Violations, v.String())
		}
	}
	return report
}

// report returns the figures of the classes in the scenario's order, and the fraction of the requested value that was
// served.
func (s *statistics) report(classes []Class) (reports []ClassReport, servedValueFraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, offered := 0.0, 0.0
	for _, c := range classes {
		st := s.classes[c.Name]
		reports = append(reports, ClassReport{
			Class:        c.Name,
			Idempotency:  c.Idempotency,
			Requests:     st.requests,
			ServedOnTime: st.onTime,
			ServedLate:   st.late,
			Rejected:     st.rejected,
			Failed:       st.failed,
			Unanswered:   st.unanswered,
			Calls:        st.calls,
			Messages:     st.messages,
			P50:          float64(st.latency.ValueAtQuantile(50)) / 1e6,
			P99:          float64(st.latency.ValueAtQuantile(99)) / 1e6,
		})
		value += c.PriorityWeight * (float64(st.onTime) + c.LateValueFraction*float64(st.late))
		offered += c.PriorityWeight * float64(st.requests)
	}
	if offered > 0 {
		servedValueFraction = value / offered
	}
	return reports, servedValueFraction
}

// checkerSettings returns the limits that the records are checked against.
func (h *Harness) checkerSettings() invariants.Settings {
	limits := h.scenario.Limits
	settings := invariants.Settings{
		Classes:           map[string]invariants.Class{},
		ResponseGrace:     responseGrace,
		DrainGrace:        limits.DrainGrace.Duration(),
		Capacity:          map[string]float64{},
		SlowStartShare:    limits.SlowStartShare,
		SlowStartDuration: limits.SlowStartDuration.Duration(),
		OverloadMultiple:  limits.OverloadMultiple,
		OverloadWindow:    limits.OverloadWindow.Duration(),
		LoadRateWindow:    limits.LoadRateWindow.Duration(),
		LoadRateBurst:     limits.LoadRateBurst,
		LoadRateRatio:     limits.LoadRateRatio,
		RecordingDelay:    recordingDelay,
	}
	for _, c := range h.scenario.Classes {
		settings.Classes[c.Name] = invariants.Class{
			Idempotency:   invariants.Idempotency(c.Idempotency),
			RetryHarmless: c.Idempotency == idempotent || c.DeduplicationScope == "all",
			MeanWork:      c.meanWork(),
		}
	}
	for _, w := range h.workers {
		settings.Capacity[w.worker.ID()] = w.capacity
	}
	return settings
}
