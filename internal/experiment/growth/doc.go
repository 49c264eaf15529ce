// Package growth measures how the resource usage of a router grows with the number of workers.
//
// It runs routers in separate processes on fake platforms of several sizes. Each router has the same traffic and limits
// at all sizes, and the total memory of the workers is in proportion to the number of routers. Each size is compared
// with a usual size, the baseline, by six criteria: processor time, peak memory, descriptors, connections made to
// workers, bytes of endpoint lists and the share of the calls that are served.
//
// A run at one size has its own temporary directory, fleet, routers and traffic, which are removed or stopped at its
// end. Runs take place one after another, so that they don't compete for processors.
//
// The command `topazfront experiment growth` calls Run, prints the report and writes it as JSON and as a plot.
package growth
