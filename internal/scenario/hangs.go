package scenario

import (
	"slices"
	"time"

	"github.com/topazfront/topazfront/internal/invariants"
)

// HangReport holds the attempts that were sent to workers while they hung. Times are in seconds since the start of the
// hang.
type HangReport struct {
	Workers         int     `json:"workers"`
	Attempts        int     `json:"attempts"`
	P50             float64 `json:"p50_s"`  // median time of the attempts
	P95             float64 `json:"p95_s"`  // 95th percentile of the times of the attempts
	MeanLastAttempt float64 `json:"stop_s"` // mean time of a router's last attempt at a worker
}

// hang is the period in which a worker hung.
type hang struct {
	worker      string
	from, until time.Duration
}

// reportHangs returns the figures of the attempts sent to hung workers. The records must be ordered by time.
func reportHangs(hangs []hang, records []invariants.Record) *HangReport {
	type pair struct{ router, worker string }
	report := &HangReport{Workers: len(hangs)}
	var times []float64
	last := map[pair]float64{}
	for _, r := range records {
		if r.Kind != invariants.AttemptReceived {
			continue
		}
		for _, h := range hangs {
			if r.Worker == h.worker && r.At >= h.from && r.At < h.until {
				sinceStart := (r.At - h.from).Seconds()
				times = append(times, sinceStart)
				last[pair{r.Router, r.Worker}] = sinceStart
			}
		}
	}
	if report.Attempts = len(times); report.Attempts == 0 {
		return report
	}
	slices.Sort(times)
	report.P50, report.P95 = times[len(times)/2], times[len(times)*95/100]
	for _, t := range last {
		report.MeanLastAttempt += t / float64(len(last))
	}
	return report
}
