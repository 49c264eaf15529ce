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

// poll sends one request and applies its response. Responses to late polls that come meanwhile are applied, too.
func (w *Watcher) poll(conn *connection) error {
	w.mu.Lock()
	w.stats.Polls++
	w.mu.Unlock()
	startedAt := time.Now()
	before := w.log.revision
	if err := conn.send(pollRequest(conn.address, before, w.cfg.PollWait)); err != nil {
		return err
	}
	message, err := w.awaitResponse(conn)
	if err != nil {
		return err
	}
	if err := w.apply(message); err != nil {
		return err
	}
	if message.Close {
		conn.close(errClosedAfterResponse)
	}
	if w.log.revision == before && time.Since(startedAt) < w.cfg.PollWait/minWaitDivisor {
		return errPrematureResponse
	}
	return nil
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
	for _, message := range w.late.takeResponses() {
		if err := w.apply(message); err != nil {
			w.cfg.Logger.Info("late response to an endpoint poll not applied", "error", err)
		}
	}
}

// apply applies the events of a response, and publishes an update if they have changed the list.
func (w *Watcher) apply(message *http1.Message) error {
	if message.Status != statusOK {
		return fmt.Errorf("discovery: status %d", message.Status)
	}
	response, err := ParsePollResponse(message.Body)
	if err != nil {
		return err
	}
	before := w.log.revision
	update, err := w.log.Apply(response, w.starts.Convert)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.stats.Revision = w.log.revision
	w.stats.Events += uint64(w.log.revision - before)
	w.mu.Unlock()
	if update != nil {
		w.publish(update)
	}
	w.starts.ListCurrent(w.cfg.RouterClock.Clock())
	return nil
}

// pollRequest returns the request for the events after a revision. Polling from an event's revision also acknowledges the
// event; the protocol has no other acknowledgement.
func pollRequest(address string, revision int64, wait time.Duration) []byte {
	return fmt.Appendf(nil, "GET /cmd/next?resume=%d&block=%d HTTP/1.1\r\nHost: %s\r\n\r\n", revision, wait.Milliseconds(), address)
}
