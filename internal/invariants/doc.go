// Package invariants checks the gateway's five rules from outside, on what clients, workers and the endpoint list
// recorded at their own ends of the sockets. It never asks a router.
//
// The rules, numbered as in reports:
//
//  1. Each call that a running router accepts gets exactly one final answer in time.
//  2. A request that is not idempotent runs at most once, and is never rejected after it ran.
//  3. A worker that drains gets nothing new after the drain grace.
//  4. A worker that is warming up is not pushed beyond the overload multiple of its present capacity.
//  5. Load commands stay within the load rate limit.
package invariants
