package growth

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	sampleInterval   = 250 * time.Millisecond
	progressInterval = 2 * time.Second
)

// Figures is the resource usage of a router in a run, as the mean over all routers that ran.
type Figures struct {
	CPUSeconds   float64 `json:"cpu_seconds"`
	PeakMemoryMB float64 `json:"peak_memory_mb"`
	Descriptors  float64 `json:"descriptors"` // maximum number open at once
	Connections  float64 `json:"connections"` // number of connections made to workers
	ListBytes    float64 `json:"list_bytes"`  // received from discovery
	ShareServed  float64 `json:"share_served"`
}

// Measurement is one run at one size.
type Measurement struct {
	Workers    int        `json:"workers"`
	Disruption Disruption `json:"disruption"`
	Figures    Figures    `json:"figures"`
}

// measuredNode is a router with its traffic and the samples of its usage.
type measuredNode struct {
	*node
	traffic         *traffic
	lastUsage       processUsage // at the last sample
	peakDescriptors int
}

// measure runs the routers with one disruption at one size and returns the figures of the run.
func measure(ctx context.Context, o Options, workers int, disruption Disruption) (Measurement, error) {
	m := Measurement{Workers: workers, Disruption: disruption}
	dir, err := os.MkdirTemp("", "growth")
	if err != nil {
		return m, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := startFleet(workers)
	if err != nil {
		return m, err
	}
	defer fleet.stop()
	var nodes []*measuredNode
	defer func() {
		for _, n := range nodes {
			n.stop()
		}
	}()
	for number := range o.Nodes {
		config := o.nodeConfig(number, workers, fleet.discovery.Addr(), fleet.discovery.AllEvents())
		n, err := startNode(ctx, o, dir, number, config)
		if err != nil {
			return m, err
		}
		nodes = append(nodes, &measuredNode{node: n, traffic: newTraffic(o, number, n.address)})
	}
	if err := runTraffic(ctx, o, fleet, nodes, m); err != nil {
		return m, err
	}
	m.Figures = meanFigures(fleet, nodes)
	return m, nil
}

// runTraffic runs the traffic, disrupts the fleet and samples the routers until all calls have ended.
func runTraffic(ctx context.Context, o Options, fleet *fleet, nodes []*measuredNode, m Measurement) error {
	trafficEnded := make(chan struct{})
	var traffic, disruption sync.WaitGroup
	for _, n := range nodes {
		traffic.Go(func() { n.traffic.run(ctx) })
	}
	go func() {
		traffic.Wait()
		close(trafficEnded)
	}()
	var disruptionErr error
	if duration := o.replacementDuration(m.Disruption); duration > 0 {
		disruption.Go(func() {
			disruptionErr = fleet.replace(int(float64(m.Workers)*replacedShare), duration, trafficEnded)
		})
	}
	if m.Disruption == Outage {
		disruption.Go(func() { disruptionErr = fleet.interruptDiscovery(o.Duration/4, o.Duration/2, trafficEnded) })
	}
	samplingErr := sampleNodes(o, nodes, m, trafficEnded)
	<-trafficEnded
	disruption.Wait()
	return errors.Join(ctx.Err(), disruptionErr, samplingErr)
}

// sampleNodes samples the routers at regular intervals until the traffic has ended, and once more after that.
func sampleNodes(o Options, nodes []*measuredNode, m Measurement, trafficEnded <-chan struct{}) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	startedAt := time.Now()
	reportedAt := startedAt
	for ended := false; !ended; {
		select {
		case <-trafficEnded:
			ended = true
		case <-ticker.C:
		}
		for _, n := range nodes {
			if err := n.sample(); err != nil {
				return fmt.Errorf("router %s: %w", n.traffic.client.BaseURL, err)
			}
		}
		if time.Since(reportedAt) >= progressInterval && o.Progress != nil {
			reportedAt = time.Now()
			o.Progress(progressLine(nodes[0], m, time.Since(startedAt), o.Duration))
		}
	}
	return nil
}

// sample reads the current usage of the router.
func (n *measuredNode) sample() (err error) {
	if n.lastUsage, err = readUsage(n.command.Process.Pid); err != nil {
		return err
	}
	n.peakDescriptors = max(n.peakDescriptors, n.lastUsage.descriptors)
	return nil
}

// progressLine describes the progress of a run and the usage of router n so far.
func progressLine(n *measuredNode, m Measurement, elapsed, duration time.Duration) string {
	return fmt.Sprintf("%s, %d workers: %.0f of %.0f s, %d calls, %d served, %.2f s processor time, %.0f MB, %d descriptors",
		m.Disruption, m.Workers, elapsed.Seconds(), duration.Seconds(), n.traffic.callsMade.Load(), n.traffic.callsServed.Load(),
		n.lastUsage.cpuSeconds, n.lastUsage.peakMemoryMB, n.lastUsage.descriptors)
}

// meanFigures returns the figures of a completed run.
func meanFigures(fleet *fleet, nodes []*measuredNode) Figures {
	figures := Figures{
		Connections: float64(fleet.acceptedConnections()),
		ListBytes:   float64(fleet.discovery.BytesSent()),
	}
	for _, n := range nodes {
		figures.CPUSeconds += n.lastUsage.cpuSeconds
		figures.PeakMemoryMB += n.lastUsage.peakMemoryMB
		figures.Descriptors += float64(n.peakDescriptors)
		figures.ShareServed += n.traffic.shareServed()
	}
	routers := float64(len(nodes))
	figures.CPUSeconds /= routers
	figures.PeakMemoryMB /= routers
	figures.Descriptors /= routers
	figures.Connections /= routers
	figures.ListBytes /= routers
	figures.ShareServed /= routers
	return figures
}
