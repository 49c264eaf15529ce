package dispatch

// EndCause is why a request was ended without a response.
type EndCause int

// The causes, by which routers count and log rejections and failures.
const (
	CauseNone              EndCause = iota
	CauseDeadline                   // its deadline has passed
	CauseTooLate                    // too little time is left for an attempt
	CauseAttemptsExhausted          // it has had as many attempts as it may have
	CauseRetryBudget                // too many requests are being retried
	CauseMayHaveRun                 // it may have run, and no worker may repeat it
	CauseLoadTooLate                // a load that it would have to wait for takes too long
	CauseOverload                   // it waits for a worker and misses its latency objective
	CauseNoLease                    // the endpoint list is out of date, and no worker may be used without it
	endCauseCount
)

// EndCauseCount is the number of causes.
const EndCauseCount = int(endCauseCount)

// endCauseNames are the causes as logs and metrics have them.
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
}

func (c EndCause) String() string { return endCauseNames[c] }

// LoadCause is why a load command was sent.
type LoadCause int

// The causes of load commands.
const (
	LoadForRequest LoadCause = iota // a request waits for it, or was answered that the function is not resident
	LoadPrefetch                    // for requests to come: another worker serves this one
	loadCauseCount
)

// LoadCauseCount is the number of causes of load commands.
const LoadCauseCount = int(loadCauseCount)

func (c LoadCause) String() string {
	if c == LoadPrefetch {
		return "ahead"
	}
	return "request"
}
