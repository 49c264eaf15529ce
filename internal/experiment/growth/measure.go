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

// Figures are the needs of a router in a run, as the mean over all routers that ran. The keys are those of the report.
type Figures struct {
	CPUSeconds   float64 `json:"cpu_seconds"`
	PeakMemoryMB float64 `json:"peak_memory_mb"`
	Descriptors  float64 `json:"descriptors"` // most that were open at once
	Connections  float64 `json:"connections"` // made to workers
	ListBytes    float64 `json:"list_bytes"`  // of the responses of discovery
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
	usage           processUsage // the last sample
	peakDescriptors int
}

// measure makes one run at one size and returns its figures.
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
	if err := play(ctx, o, fleet, nodes, m); err != nil {
		return m, err
	}
	m.Figures = meanFigures(fleet, nodes)
	return m, nil
}

// play makes the traffic, disrupts the fleet and samples the routers until all calls have ended.
func play(ctx context.Context, o Options, fleet *fleet, nodes []*measuredNode, m Measurement) error {
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
		disruption.Go(func() { disruptionErr = fleet.loseDiscovery(o.Duration/4, o.Duration/2, trafficEnded) })
	}
	samplingErr := sample(o, nodes, m, trafficEnded)
	<-trafficEnded
	disruption.Wait()
	return errors.Join(ctx.Err(), disruptionErr, samplingErr)
}

// sample samples the routers until the traffic has ended, and once more then.
func sample(o Options, nodes []*measuredNode, m Measurement, trafficEnded <-chan struct{}) error {
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

// sample reads the router's present usage.
func (n *measuredNode) sample() (err error) {
	if n.usage, err = readUsage(n.command.Process.Pid); err != nil {
		return err
	}
	n.peakDescriptors = max(n.peakDescriptors, n.usage.descriptors)
	return nil
}

// progressLine describes how far a run is, and the usage of the first router so far.
func progressLine(n *measuredNode, m Measurement, elapsed, duration time.Duration) string {
	return fmt.Sprintf("%s, %d workers: %.0f of %.0f s, %d calls, %d served, %.2f s processor time, %.0f MB, %d descriptors",
		m.Disruption, m.Workers, elapsed.Seconds(), duration.Seconds(), n.traffic.made.Load(), n.traffic.served.Load(),
		n.usage.cpuSeconds, n.usage.peakMemoryMB, n.usage.descriptors)
}

// meanFigures returns the figures of a run that has ended.
func meanFigures(fleet *fleet, nodes []*measuredNode) Figures {
	figures := Figures{
		Connections: float64(fleet.acceptedConnections()),
		ListBytes:   float64(fleet.discovery.BytesSent()),
	}
	for _, n := range nodes {
		figures.CPUSeconds += n.usage.cpuSeconds
		figures.PeakMemoryMB += n.usage.peakMemoryMB
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
