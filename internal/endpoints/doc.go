// Package endpoints merges the endpoint list with what workers report of themselves.
//
// Job: the endpoint list may lag behind. A worker that has reported that it drains (by GOAWAY, or by a rejection that says
// so) stays draining for this router although the list still has it active. The drain ends when one of these happens:
//
//   - the list has a later start time for the worker;
//   - the list shows it as not active and then as active again;
//   - a health check finds it ready. It is made Settings.CheckInterval after the report, for workers that close connections
//     for other reasons than a drain, such as the connection's age.
//
// State: a Merger holds the list and the reported drains of one router. It does no I/O and reads no clock: the caller passes
// in events with the time, and Step returns what to do. A StartTimes converts start times to the router's clock.
//
// Callers: router.Router has a Merger on its loop. discovery.Watcher and internal/grpcgateway each have a StartTimes for the
// list that they read.
package endpoints
