package respupstream

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/router"
)

// What the wire shows of an exchange's end, and what that proves. "Never ran" is claimed only where the protocol
// or the system itself promises it; in doubt a request may have run.
//
//	evidence                                             result         never ran
//	no connection came up within the time, or refused    NoConnection   yes: nothing was written
//	no connection for want of a descriptor, port or
//	  memory at this end                                 NotSent        yes: nothing was written
//	not written: the worker drains, has gone or was
//	  replaced, time is too short, the client has left,
//	  or it was given up                                 NotSent        yes: nothing was written
//	the system took no byte of it (reset before)         (another connection, else NotSent)
//	nothing                                              Missed         yes: the worker's promise
//	refused                                              Refused        yes: the worker's promise
//	stale                                                NotSent        yes: the worker's promise
//	ok                                                   OK             ran
//	error                                                Errored        may have
//	connection reset or closed, or written in part       Reset          may have
//	an answer that can't be read, is too large or stops  Reset          may have: the connection is ended, and
//	  within, on the connection                                           so is all that was open on it
//	given up after it was written                        Cancelled      may have
//
// An answer belongs to the exchange that is open under its id on its connection. An id goes over a connection
// only once, so that a late answer, or a second copy of one, is never taken for another attempt's. Answers under
// ids that are not open are passed over.

// errAnswer tells of an answer that can't be read.
var errAnswer = errors.New("respback: unreadable answer")

// answer is a worker's answer.
type answer struct {
	id     string
	word   string
	report router.WorkerReport
	copies int
	body   []byte // valid while the items are
}

// words are the answers, and what they mean to each kind of exchange.
var words = map[string]map[kind]dispatch.Result{
	"ok":      {exec: dispatch.OK, order: dispatch.OK},
	"nothing": {exec: dispatch.NotResident},
	"refused": {exec: dispatch.Rejected, order: dispatch.Rejected},
	"error":   {exec: dispatch.Errored, order: dispatch.Errored, probe: dispatch.Errored},
	"stale":   {exec: dispatch.NotSent},
	"yes":     {probe: dispatch.OK},
	"no":      {probe: dispatch.OK},
}

// readAnswer reads an answer's items.
func readAnswer(items [][]byte) (a answer, err error) {
	if len(items) != 4 || len(items[0]) == 0 || len(items[0]) > 64 {
		return a, errAnswer
	}
	a.id, a.word, a.body = string(items[0]), string(items[1]), items[3]
	if words[a.word] == nil {
		return a, fmt.Errorf("%w: word %.20q", errAnswer, a.word)
	}
	a.report = router.NoWorkerReport
	rest := items[2]
	if len(rest) == 1 && rest[0] == '-' {
		return a, nil
	}
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{'='})
		if !ok || len(name) == 0 {
			return a, fmt.Errorf("%w: fields %.40q", errAnswer, items[2])
		}
		switch string(name) {
		case "company":
			v, ok := number(value)
			if !ok {
				return a, fmt.Errorf("%w: company %.20q", errAnswer, value)
			}
			a.report.FunctionInFlight = int(v)
		case "slots_up":
			v, ok := number(value)
			if !ok {
				return a, fmt.Errorf("%w: slots_up %.20q", errAnswer, value)
			}
			a.copies = int(v)
		case "meter":
			if !meter(&a.report.LoadReport, value) {
				return a, fmt.Errorf("%w: meter %.40q", errAnswer, value)
			}
		}
	}
	return a, nil
}

// meter reads a load report.
func meter(l *dispatch.LoadReport, p []byte) bool {
	for len(p) > 0 {
		var pair []byte
		pair, p, _ = bytes.Cut(p, []byte{';'})
		name, value, ok := bytes.Cut(pair, []byte{':'})
		v, good := number(value)
		if !ok || !good {
			return false
		}
		switch string(name) {
		case "inflight":
			l.InFlight = v
		case "queue":
			l.Queued = v
		case "x1": // loads under way or waiting, by the settings
			l.Loading = v
		}
	}
	return true
}

func number(p []byte) (float64, bool) {
	if len(p) == 0 || len(p) > 32 {
		return 0, false
	}
	v, err := strconv.ParseFloat(string(p), 64)
	return v, err == nil && !math.IsNaN(v) && v >= 0 && v < 1e9
}
