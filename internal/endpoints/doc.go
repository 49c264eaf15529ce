// Package endpoints merges the endpoint list with the drains that workers report themselves.
//
// The endpoint list may be out of date. A worker that has reported that it is draining (by GOAWAY, or by a rejection
// that says so) is treated as draining while the list still shows it as active. The drain ends when one of these
// happens:
//
//   - the list has a later start time for the worker;
//   - the list shows the worker as not active and then as active again;
//   - a health check finds the worker ready. It is made Settings.CheckInterval after the report, because a worker may
//     close connections for reasons other than a drain, such as a connection's age.
//
// A Merger holds the list and the reported drains of one router. It does no I/O and reads no clock: the caller passes
// in events and the time, and Step returns the actions to execute. A StartTimes converts start times to the router's
// clock.
//
// The loop of router.Router owns a Merger. discovery.Watcher and internal/grpcgateway each own a StartTimes for the
// list that they read.
package endpoints
