// Package discovery watches the platform's endpoint list by HTTP long polls.
//
// Each response contains numbered events that change the list of workers. The events of a response are applied in order
// and completely or not at all, and each event is applied once. After a failure the next poll resumes from the last
// event applied.
//
// A Watcher's goroutine (run) owns the event log, the start times of the workers and the late polls. The Watcher's
// mutex protects the address and the connection of the current poll, because SetAddress and Close interrupt a poll.
//
// internal/httprouter starts one Watcher for its router, and passes new addresses to SetAddress when the configuration
// is reloaded. The Watcher calls Config.OnUpdate (router.Router.UpdateEndpoints), never concurrently.
package discovery
