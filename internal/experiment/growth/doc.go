// Package growth measures how the needs of a router grow with the number of workers.
//
// Job: it runs routers in processes of their own against fake platforms of several sizes, with the same traffic, limits and
// total capacity for each router. It compares each size with a usual one in six rows: processor time, peak memory,
// descriptors, connections made to workers, bytes of endpoint lists and the share of the calls that are served.
//
// State: measure owns all of a run: a temporary directory, the fleet, the routers and their traffic. They end with it. One
// run follows another, so that they don't compete for processors.
//
// Caller: `topazfront experiment growth`, by Run, which prints the report and writes it as JSON and as a plot.
package growth
