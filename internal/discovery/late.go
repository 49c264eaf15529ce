package discovery

import "github.com/topazfront/topazfront/internal/transport/http1"

// lateResponse is a response to a poll that had timed out.
type lateResponse struct {
	message *http1.Message
	query   pollQuery
}

// maxLatePolls is the number of polls that stay pending after their timeout, until a later poll is answered in time. A
// timeout doesn't show whether the server is unresponsive or slow. An unresponsive server needs a new poll on a new
// connection, a slow one needs more time. With two late polls, a response may take up to three times the timeout of a
// poll.
const maxLatePolls = 2

// latePolls holds the polls that have timed out and may still be answered, the oldest first. Watcher.run owns it; other
// goroutines use only arrived.
type latePolls struct {
	conns   []*connection
	arrived chan struct{} // has a buffer of one; signals that a connection has a result
}

func newLatePolls() *latePolls { return &latePolls{arrived: make(chan struct{}, 1)} }

// add keeps a timed-out poll pending. If there are too many, it abandons the oldest.
func (l *latePolls) add(conn *connection) {
	if len(l.conns) == maxLatePolls {
		l.conns[0].close(errResponseTimeout)
		l.conns = l.conns[1:]
	}
	l.conns = append(l.conns, conn)
	conn.notifyResult(l.arrived)
}

// takeResponses returns the responses that have arrived. It closes and removes the polls that have ended by a response
// or an error.
func (l *latePolls) takeResponses() (responses []lateResponse) {
	pending := l.conns[:0:0]
	for _, conn := range l.conns {
		select {
		case result := <-conn.results:
			if result.err == nil {
				responses = append(responses, lateResponse{result.message, conn.query})
			}
			conn.close(errResponseTimeout)
		default:
			pending = append(pending, conn)
		}
	}
	l.conns = pending
	return responses
}

// close abandons all late polls.
func (l *latePolls) close() {
	for _, conn := range l.conns {
		conn.close(errInterrupted)
	}
	l.conns = nil
}
