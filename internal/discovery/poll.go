package discovery

import (
	"errors"
	"fmt"
	"time"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// minWaitDivisor determines the shortest plausible time of a poll without a new event: its wait / minWaitDivisor.
const minWaitDivisor = 4

// statusOK is the HTTP status of a response that holds events.
const statusOK = 200

// errPrematureResponse ends a poll whose response arrived too early without a new event. It counts as a failure, which
// delays the next poll: a server that doesn't hold polls would otherwise be polled continuously.
var errPrematureResponse = errors.New("discovery: response without a new event long before the end of the poll's wait")

// errNoSnapshot rejects a response to a poll for the complete list if the response contains no snapshot.
var errNoSnapshot = errors.New("discovery: response to a poll for the complete list has no snapshot")

// poll sends one request and applies its response. It also applies responses to late polls that arrive in the meantime.
func (w *Watcher) poll(conn *connection) error {
	w.mu.Lock()
	w.stats.Polls++
	w.mu.Unlock()
	query := w.nextQuery()
	conn.query = query
	before := w.events.revision
	if w.recovering {
		w.reportRequested(query.sentRouterTime)
	}
	if err := conn.send(pollRequest(conn.address, query.revision, query.wait)); err != nil {
		return err
	}
	message, err := w.awaitResponse(conn)
	if err != nil {
		return err
	}
	if err := w.apply(message, query); err != nil {
		return err
	}
	if message.Close {
		conn.close(errClosedAfterResponse)
	}
	if query.verifyRevision == 0 && w.events.revision == before &&
		time.Since(query.sentAt) < query.wait/minWaitDivisor {
		return errPrematureResponse
	}
	return nil
}

// pollQuery holds the parameters of a poll, and what its response must contain.
type pollQuery struct {
	sentAt         time.Time     // right before the poll was sent
	sentRouterTime time.Duration // the same time on the router's clock
	revision       int64         // the events after this revision are requested; 0 requests the complete list
	wait           time.Duration // how long the server may hold the poll
	complete       bool          // the response must contain a snapshot

	// verifyRevision is the revision of the last event applied, which the response must repeat as its first event
	// unless it begins with a snapshot. 0 means that no event need be repeated.
	verifyRevision int64
}

// nextQuery returns the parameters of the next poll.
func (w *Watcher) nextQuery() pollQuery {
	query := pollQuery{
		sentAt:         time.Now(),
		sentRouterTime: w.cfg.RouterClock.Now(),
		revision:       w.events.revision,
		wait:           w.cfg.PollWait,
	}
	if w.recovering {
		query.wait = min(query.wait, recoveryPollWait)
	}
	stale := query.sentRouterTime-w.confirmedAt > verifyAfter
	switch {
	case w.resynchronize:
		query.revision = 0
		query.complete = true
	case w.recovering && stale && w.events.lastDigest.known:
		query.verifyRevision = w.events.revision
		query.revision = w.events.revision - 1
	}
	return query
}

// validate returns an error if a response does not match the query.
func (q pollQuery) validate(response PollResponse) error {
	if *response.Revision < q.revision {
		return fmt.Errorf("%w: %d follows %d", ErrRevisionRegressed, *response.Revision, q.revision)
	}
	if q.verifyRevision == 0 {
		return nil
	}
	if len(response.Events) == 0 {
		return fmt.Errorf("%w: event %d is missing", ErrRevisionRegressed, q.verifyRevision)
	}
	first := response.Events[0]
	isSnapshot := first.Update != nil && first.Update.Snapshot
	if *first.Revision != q.verifyRevision && !isSnapshot {
		return fmt.Errorf("%w: event %d follows %d", ErrRevisionRegressed, *first.Revision, q.revision)
	}
	return nil
}

// confirmedAt returns the time on the router's clock up to which a response that was read now confirms the list. The
// server writes a response without events at the end of the poll's wait. It may have written a response with events at
// any time since the poll was sent, because this process may have been paused since then.
func (q pollQuery) confirmedAt(hasEvents bool, now time.Time) time.Duration {
	if hasEvents || now.Sub(q.sentAt) < q.wait {
		return q.sentRouterTime
	}
	return q.sentRouterTime + q.wait
}

// awaitResponse waits for the response on a connection until the poll's timeout. Meanwhile it applies the responses to
// late polls.
func (w *Watcher) awaitResponse(conn *connection) (*http1.Message, error) {
	timer := time.NewTimer(w.cfg.PollWait + w.cfg.ResponseGrace)
	defer timer.Stop()
	for {
		select {
		case result := <-conn.results:
			return result.message, result.err
		case <-w.late.arrived:
			w.applyLateResponses()
		case <-timer.C:
			return nil, errResponseTimeout
		}
	}
}

// applyLateResponses applies the responses to late polls that have arrived. A response that can't be applied is only
// logged, because the current poll requests the same events.
func (w *Watcher) applyLateResponses() {
	for _, late := range w.late.takeResponses() {
		if err := w.apply(late.message, late.query); err != nil {
			w.cfg.Logger.Info("late response to an endpoint poll not applied", "error", err)
		}
	}
}

// apply applies the events of a response, publishes an update if they change the list, and confirms the list.
func (w *Watcher) apply(message *http1.Message, query pollQuery) error {
	if message.Status != statusOK {
		return fmt.Errorf("discovery: status %d", message.Status)
	}
	response, err := ParsePollResponse(message.Body)
	if err != nil {
		return err
	}
	if err := query.validate(response); err != nil {
		return err
	}
	events := w.events
	if query.complete {
		events = &eventLog{}
	}
	before := w.events.revision
	update, err := events.Apply(response, w.startTimes.Convert)
	if err != nil {
		return err
	}
	if query.complete && (update == nil || !update.Snapshot) {
		return errNoSnapshot
	}
	w.events = events
	w.resynchronize = w.resynchronize && !query.complete
	w.mu.Lock()
	w.stats.Revision = w.events.revision
	w.stats.Events += uint64(max(w.events.revision-before, 0))
	w.mu.Unlock()
	if update != nil {
		w.publish(update)
	}
	w.confirm(query.confirmedAt(len(response.Events) > 0, time.Now()))
	return nil
}

// pollRequest returns the HTTP request for the events after a revision. It also acknowledges the events up to that
// revision; the protocol has no other acknowledgement.
func pollRequest(address string, revision int64, wait time.Duration) []byte {
	return fmt.Appendf(nil, "GET /cmd/next?resume=%d&block=%d HTTP/1.1\r\nHost: %s\r\n\r\n", revision, wait.Milliseconds(), address)
}
