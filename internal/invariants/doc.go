// Package invariants checks the gateway's five rules from outside. Its input is what clients, workers and the endpoint
// list recorded at their own ends of the sockets; nothing that a router says about itself is used.
//
// The rules, numbered as in reports:
//
//  1. Each call that a running router accepts gets exactly one final answer in time.
//  2. A request that is not idempotent runs at most once, and is never rejected after it ran.
//  3. A worker that drains receives no new calls or load commands after the drain grace.
//  4. A worker that is warming up receives no more work than the overload multiple of its current capacity.
//  5. Load commands stay within the load rate limit.
package invariants
