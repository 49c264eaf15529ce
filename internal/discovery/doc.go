// Package discovery watches the platform's endpoint list by HTTP long polls.
//
// Job: each response brings numbered events that change the list of workers. A response is applied completely or not at
// all, in order, and each event once. After any failure the next poll resumes from the last event that was applied.
//
// State: a Watcher's goroutine (run) owns the event log, the start times of the workers and the late polls. The address
// and the connection of the current poll are under the Watcher's mutex, because SetAddress and Close interrupt a poll.
//
// Callers: internal/httprouter starts one Watcher for its router and passes new addresses to SetAddress when the
// configuration is reloaded. The Watcher calls Config.OnUpdate (router.Router.UpdateEndpoints), never concurrently.
package discovery
