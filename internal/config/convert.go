package config

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/server"
)

// The words of the files and what they mean to the dispatcher. The schemas admit no others.
var (
	reportSources = map[string]dispatch.ReportSource{"none": dispatch.ReportsNone,
		"answers": dispatch.ReportsWithResponses, "probes": dispatch.ReportsFromHealthChecks}
	idempotencies = map[string]dispatch.Idempotency{"safe": dispatch.Idempotent, "keyed": dispatch.IdempotentByKey,
		"unsafe": dispatch.NonIdempotent}
	deduplicationScopes = map[string]dispatch.DeduplicationScope{"all": dispatch.ScopeAll, "zone": dispatch.ScopeZone,
		"cell": dispatch.ScopeCell}
	endpointStates = map[string]dispatch.EndpointState{"": dispatch.EndpointActive, "on": dispatch.EndpointActive,
		"draining": dispatch.EndpointDraining, "gone": dispatch.EndpointRemoved}
)

// DispatchSettings returns the dispatcher's settings.
func (g *Gateway) DispatchSettings() dispatch.Settings {
	settings := dispatch.Settings{
		Zone:                g.Zone,
		Routers:             g.Routers,
		LoadReports:         reportSources[g.LoadReports],
		WorkersLoadOnMiss:   g.Loading.OnCacheMiss == "load",
		LoadCommandsAllowed: g.Loading.CommandsAllowed,
		CacheStatusReported: g.Loading.CacheStatusReported,
		IdleResidency:       g.Loading.IdleResidency.Duration(),
		LoadRateWindow:      g.Loading.RateWindow.Duration(),
		LoadRateBurst:       g.Loading.RateBurst,
		LoadRateRatio:       g.Loading.RateRatio,
		CancelAllowed:       g.Limits.CancelAllowed,
		HealthChecksAllowed: g.Limits.HealthChecksAllowed,
		HedgingAllowed:      g.Limits.HedgingAllowed,
		MaxAttempts:         g.Limits.MaxAttempts,
		MaxRetryAfter:       g.Limits.MaxRetryAfter.Duration(),
		DrainGrace:          g.Safety.DrainGrace.Duration(),
		SlowStartShare:      g.Safety.SlowStartShare,
		SlowStartDuration:   g.Safety.SlowStartDuration.Duration(),
		OverloadMultiple:    g.Safety.OverloadMultiple,
		OverloadWindow:      g.Safety.OverloadWindow.Duration(),
		SuspicionsReported:  g.Gossip != nil,
	}
	for _, k := range g.WorkerKinds {
		settings.WorkerKinds = append(settings.WorkerKinds, dispatch.WorkerKind{Name: k.Name, MemoryMB: k.MemoryMB})
	}
	for _, c := range g.Classes {
		settings.Classes = append(settings.Classes, c.dispatchClass())
	}
	for _, t := range g.Tenants {
		settings.Tenants = append(settings.Tenants, dispatch.Tenant{Name: t.Name, QuotaPerSecond: t.QuotaPerSecond, Share: t.Share})
	}
	return settings
}

func (c Class) dispatchClass() dispatch.Class {
	return dispatch.Class{
		Name:                c.Name,
		LatencyObjective:    c.LatencyObjective.Duration(),
		Deadline:            c.Deadline.Duration(),
		PriorityWeight:      c.PriorityWeight,
		LateValueFraction:   c.LateValueFraction,
		Idempotency:         idempotencies[c.Idempotency],
		DeduplicationScope:  deduplicationScopes[c.DeduplicationScope],
		DeduplicationWindow: c.DeduplicationWindow.Duration(),
	}
}

// Intake returns what the servers need to know of models and classes.
func (g *Gateway) Intake() *server.Intake {
	intake := &server.Intake{
		Models:    map[string]server.Model{},
		Deadlines: map[string]time.Duration{},
		Margin:    g.Limits.ResponseMargin.Duration(),
		MaxBody:   g.Limits.MaxMessageBytes,
	}
	for name, m := range g.Models {
		intake.Models[name] = m.serverModel()
	}
	if g.DefaultModel != nil {
		intake.Default = g.DefaultModel.serverModel()
	}
	for _, c := range g.Classes {
		intake.Deadlines[c.Name] = c.Deadline.Duration()
	}
	return intake
}

func (m Model) serverModel() server.Model {
	return server.Model{Class: m.Class, MemoryMB: m.MemoryMB, Lanes: m.ConcurrencyPerInstance, LoadTime: m.LoadTime.Duration(),
		Work: m.WorkTime.Duration(), Versions: m.Versions}
}
