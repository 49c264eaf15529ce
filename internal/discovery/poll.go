package discovery

import (
	"errors"
	"fmt"
	"time"

	"github.com/topazfront/topazfront/internal/transport/http1"
)

// minWaitDivisor sets the shortest time that a poll without an event should take: PollWait / minWaitDivisor.
const minWaitDivisor = 4

// statusOK is the HTTP status of a response that holds events.
const statusOK = 200

// errPrematureResponse ends a poll whose response came at once and without an event. Counting it as a failure delays the
// next poll: a server that doesn't hold polls back would otherwise be polled at full speed.
var errPrematureResponse = errors.New("discovery: response without an event before the poll's wait was over")

// errNoSnapshot rejects the response to a poll for the complete list that does not begin with a snapshot.
var errNoSnapshot = errors.New("discovery: response without a snapshot to a poll for the complete list")

// poll sends one request and applies its response. Responses to late polls that come meanwhile are applied, too.
func (w *Watcher) poll(conn *connection) error {
	w.mu.Lock()
	w.stats.Polls++
	w.mu.Unlock()
	asked := w.newQuestion()
	conn.asked = asked
	before := w.log.revision
	if w.askAgain {
		w.reportAskedAgain(asked.routerTime)
	}
	if err := conn.send(pollRequest(conn.address, asked.revision, asked.wait)); err != nil {
		return err
	}
	message, err := w.awaitResponse(conn)
	if err != nil {
		return err
	}
	if err := w.apply(message, asked); err != nil {
		return err
	}
	if message.Close {
		conn.close(errClosedAfterResponse)
	}
	if asked.verify == 0 && w.log.revision == before && time.Since(asked.at) < asked.wait/minWaitDivisor {
		return errPrematureResponse
	}
	return nil
}

// question is what a poll asked for.
type question struct {
	at         time.Time     // when it was asked
	routerTime time.Duration // the same by the router's clock
	revision   int64         // events after it are asked for; 0: the complete list
	wait       time.Duration // how long the server may hold the poll
	complete   bool          // the response has to begin with a snapshot
	verify     int64         // the response has to begin with this event, which was applied before, or a snapshot; 0: with none
}

// newQuestion returns what the next poll asks for.
func (w *Watcher) newQuestion() question {
	asked := question{at: time.Now(), routerTime: w.cfg.RouterClock.Now(), revision: w.log.revision, wait: w.cfg.PollWait}
	if w.askAgain {
		asked.wait = min(asked.wait, firstWaitAfterFailure)
	}
	lost := asked.routerTime-w.confirmedAt > verifyAfter
	switch {
	case w.resynchronize:
		asked.revision = 0
		asked.complete = true
	case w.askAgain && lost && w.log.last.known:
		asked.verify = w.log.revision
		asked.revision = w.log.revision - 1
	}
	return asked
}

// check returns an error if a response does not begin as the question demands.
func (q question) check(response PollResponse) error {
	if *response.Revision < q.revision {
		return fmt.Errorf("%w: %d follows %d", ErrRevisionRegressed, *response.Revision, q.revision)
	}
	if q.verify == 0 {
		return nil
	}
	if len(response.Events) == 0 {
		return fmt.Errorf("%w: there is no event %d", ErrRevisionRegressed, q.verify)
	}
	first := response.Events[0]
	isSnapshot := first.Update != nil && first.Update.Snapshot
	if *first.Revision != q.verify && !isSnapshot {
		return fmt.Errorf("%w: event %d follows %d", ErrRevisionRegressed, *first.Revision, q.revision)
	}
	return nil
}

// currentAt returns when the list was current by a response that was read now, on the router's clock. One without events was
// written when the poll's wait was over. One with events may have been written at any time since the poll was sent: the
// process may have been stopped meanwhile.
func (q question) currentAt(hasEvents bool, now time.Time) time.Duration {
	if hasEvents || now.Sub(q.at) < q.wait {
		return q.routerTime
	}
	return q.routerTime + q.wait
}

// awaitResponse waits for the response on a connection, for as long as a poll may take. Meanwhile it applies the responses
// to late polls.
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

// applyLateResponses applies the responses to late polls that have arrived. One that can't be applied is only logged: the
// poll under way asks for the same events.
func (w *Watcher) applyLateResponses() {
	for _, late := range w.late.takeResponses() {
		if err := w.apply(late.message, late.asked); err != nil {
			w.cfg.Logger.Info("late response to an endpoint poll not applied", "error", err)
		}
	}
}

// apply applies the events of a response, publishes an update if they have changed the list, and confirms the list.
func (w *Watcher) apply(message *http1.Message, asked question) error {
	if message.Status != statusOK {
		return fmt.Errorf("discovery: status %d", message.Status)
	}
	response, err := ParsePollResponse(message.Body)
	if err != nil {
		return err
	}
	if err := asked.check(response); err != nil {
		return err
	}
	log := w.log
	if asked.complete {
		log = &eventLog{}
	}
	before := w.log.revision
	update, err := log.Apply(response, w.starts.Convert)
	if err != nil {
		return err
	}
	if asked.complete && (update == nil || !update.Snapshot) {
		return errNoSnapshot
	}
	w.log = log
	w.resynchronize = w.resynchronize && !asked.complete
	w.mu.Lock()
	w.stats.Revision = w.log.revision
	w.stats.Events += uint64(max(w.log.revision-before, 0))
	w.mu.Unlock()
	if update != nil {
		w.publish(update)
	}
	w.confirm(asked.currentAt(len(response.Events) > 0, time.Now()))
	return nil
}

// pollRequest returns the request for the events after a revision. Polling from an event's revision also acknowledges the
// event; the protocol has no other acknowledgement.
func pollRequest(address string, revision int64, wait time.Duration) []byte {
	return fmt.Appendf(nil, "GET /cmd/next?resume=%d&block=%d HTTP/1.1\r\nHost: %s\r\n\r\n", revision, wait.Milliseconds(), address)
}
