// Package httprouter runs one router on one small machine of the users' platform: HTTP/1.1 from clients, RESP to workers.
//
// Job: it puts the HTTP server, the router's loop, the RESP upstream and the endpoint watcher together by a configuration
// file. SIGHUP reloads that file, of which only the discovery server's address may change. SIGTERM shuts the process down in
// phases, each with an end. All bounds of memory and descriptors come from the file; those that the runtime and the system
// enforce are set before the first socket is opened.
//
// State: a Server owns its parts and their order of start and stop, and each part owns its own state. The package itself
// decides nothing about calls.
//
// Callers: `topazfront node` calls Run. Tests call Start, Shutdown and Close.
package httprouter
