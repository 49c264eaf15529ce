package soak

import (
	"fmt"
	"slices"
	"strings"

	"github.com/topazfront/topazfront/internal/invariants"
)

// recordNames are the kinds of records as timelines have them.
var recordNames = map[invariants.RecordKind]string{
	invariants.CallSent:            "client sends call",
	invariants.FinalAnswer:         "client is answered:",
	invariants.CallAbandoned:       "client leaves",
	invariants.AttemptReceived:     "worker receives attempt",
	invariants.RunStarted:          "worker runs call",
	invariants.LoadCommandReceived: "worker receives load command",
	invariants.EndpointNotified:    "router counts as notified:",
	invariants.WorkerStarted:       "worker starts",
	invariants.RouterKilled:        "router is killed",
	invariants.RouterStarted:       "router starts",
}

// timeline returns one list of what happened around a violation: the faults of the run, the whole story of the call that
// is concerned, what reached the worker that is concerned, and the router's log.
func (r *run) timeline(records []invariants.Record, violation invariants.Violation) (lines []string) {
	for _, fault := range r.intervals {
		lines = append(lines, fmt.Sprintf("%8.3f to %.3f fault %v", fault.from.Seconds(), fault.to.Seconds(), fault.Fault))
	}
	about := violation.Record
	for _, record := range records {
		isNear := record.At > violation.At-timelineSpan && record.At < violation.At+timelineSpan
		sameCall := about.Call != "" && record.Call == about.Call
		sameWorker := about.Worker != "" && record.Worker == about.Worker && record.Router == about.Router
		if sameCall || sameWorker && isNear || sameWorker && record.Kind == invariants.EndpointNotified {
			lines = append(lines, recordLine(record))
		}
	}
	index := slices.IndexFunc(r.nodes, func(n *node) bool { return routerName(n.router) == about.Router })
	if index >= 0 {
		_, log := r.nodes[index].report()
		lines = append(lines, log...)
	}
	return lines
}

func recordLine(record invariants.Record) string {
	words := []string{fmt.Sprintf("%8.3f", record.At.Seconds()), record.Router, recordNames[record.Kind]}
	if isCallRecord(record.Kind) {
		words = append(words, record.Call, record.Class)
	}
	if record.Worker != "" {
		words = append(words, "at", record.Worker)
	}
	if detail := recordDetail(record); detail != "" {
		words = append(words, detail)
	}
	return strings.Join(words, " ")
}

// recordDetail returns what only records of the kind have.
func recordDetail(record invariants.Record) string {
	switch {
	case record.Kind == invariants.FinalAnswer:
		return record.Answer.String()
	case record.Kind == invariants.CallSent:
		return fmt.Sprintf("to be answered by %.3f", record.Deadline.Seconds())
	case record.Kind == invariants.AttemptReceived:
		return fmt.Sprintf("with %v left", record.Remaining)
	case record.Kind == invariants.EndpointNotified && record.Unavailable:
		return "unavailable"
	case record.Kind == invariants.EndpointNotified:
		return "active"
	default:
		return ""
	}
}
