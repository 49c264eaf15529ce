// Package growth measures how what a router needs grows with the number of workers. It runs routers in processes of
// their own against fake platforms of several sizes, with the same traffic, limits and total capacity for each router,
// and compares each size with a usual one, in six rows: processor time, peak memory, descriptors, connections made to
// workers, bytes of endpoint lists and the share of the calls that are served.
package growth
