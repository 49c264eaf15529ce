package gossip

import (
	"strconv"
	"time"
)

// This file defines the inputs and outputs of SuspicionQuorum.Step.

// Claim is another router's claim about a worker, in the incarnation that started at Started.
type Claim struct {
	Worker  string
	Started uint64 // Unix milliseconds, as in WorkerList; claims about another incarnation are ignored
	Kind    StatementKind
	Class   string // of WorkerFailing
	Signer  string
	Age     time.Duration // since the claim was signed
}

// CheckResult is the result of a CheckWorker.
type CheckResult int

// The results of a check.
const (
	CheckSkipped     CheckResult = iota // no check was made; nothing is known
	CheckFoundAlive                     // the worker responded
	CheckFoundSilent                    // the worker did not respond
)

// String returns the result as a lower-case word.
func (r CheckResult) String() string {
	switch r {
	case CheckSkipped:
		return "skipped"
	case CheckFoundAlive:
		return "alive"
	case CheckFoundSilent:
		return "silent"
	}
	return "CheckResult(" + strconv.Itoa(int(r)) + ")"
}

// WorkerChecked reports the result of a CheckWorker.
type WorkerChecked struct {
	Worker string
	Result CheckResult
}

func (Claim) quorumEvent()         {}
func (WorkerChecked) quorumEvent() {}

// QuorumAction is an output of [SuspicionQuorum.Step].
type QuorumAction interface{ quorumAction() }

// CheckWorker requests that the caller check whether a worker responds and report the result as [WorkerChecked].
type CheckWorker struct{ Worker string }

// SilenceConfirmed reports that a worker did not respond to this router's check either. The caller passes it to the
// dispatcher.
type SilenceConfirmed struct{ Worker string }

func (CheckWorker) quorumAction()      {}
func (SilenceConfirmed) quorumAction() {}
