package dispatch

// EndCause is the reason why a request got no response.
type EndCause int

// The end causes. Routers count and log rejections and failures by them.
const (
	CauseNone              EndCause = iota
	CauseDeadline                   // its deadline has passed
	CauseTooLate                    // too little time is left for an attempt
	CauseAttemptsExhausted          // it has had the maximum number of attempts
	CauseRetryBudget                // the retry budget is used up
	CauseMayHaveRun                 // it may have run, and no worker may repeat it
	CauseLoadTooLate                // the load that it would have to wait for ends too late
	CauseOverload                   // no worker is available, and it will miss its latency objective
	CauseNoLease                    // the endpoint list is out of date, and no worker holds a lease
	CauseIdentityUnproven           // it may have run in another process than the one that the endpoint list names
	endCauseCount
)

// EndCauseCount is the number of end causes.
const EndCauseCount = int(endCauseCount)

// endCauseNames holds the names of the end causes in logs and metrics.
var endCauseNames = [EndCauseCount]string{
	CauseNone:              "none",
	CauseDeadline:          "deadline",
	CauseTooLate:           "too_late",
	CauseAttemptsExhausted: "attempts_exhausted",
	CauseRetryBudget:       "retry_budget",
	CauseMayHaveRun:        "may_have_run",
	CauseLoadTooLate:       "load_too_late",
	CauseOverload:          "overload",
	CauseNoLease:           "no_lease",
	CauseIdentityUnproven:  "identity_unproven",
}

func (c EndCause) String() string { return endCauseNames[c] }

// LoadCause is the reason for a load command.
type LoadCause int

// The load causes.
const (
	LoadForRequest LoadCause = iota // a request waits for it, or was answered that the function is not resident
	LoadPrefetch                    // for requests to come: another worker serves this one
	loadCauseCount
)

// LoadCauseCount is the number of load causes.
const LoadCauseCount = int(loadCauseCount)

func (c LoadCause) String() string {
	if c == LoadPrefetch {
		return "ahead"
	}
	return "request"
}
