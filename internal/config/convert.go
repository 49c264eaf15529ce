package config

import (
	"time"

	"github.com/topazfront/topazfront/dispatch"
	"github.com/topazfront/topazfront/internal/server"
)

// The enum values of the files and the dispatcher's values for them. The schemas reject all other values.
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

// DispatchSettings converts the settings to those of the dispatcher.
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

// CallBuilder returns the builder with which the servers convert requests to calls.
func (g *Gateway) CallBuilder() *server.CallBuilder {
	builder := &server.CallBuilder{
		Models:          map[string]server.ModelSettings{},
		Deadlines:       map[string]time.Duration{},
		ResponseMargin:  g.Limits.ResponseMargin.Duration(),
		MaxMessageBytes: g.Limits.MaxMessageBytes,
	}
	for name, m := range g.Models {
		builder.Models[name] = m.serverSettings()
	}
	if g.DefaultModel != nil {
		builder.DefaultModel = g.DefaultModel.serverSettings()
	}
	for _, c := range g.Classes {
		builder.Deadlines[c.Name] = c.Deadline.Duration()
	}
	return builder
}

func (m Model) serverSettings() server.ModelSettings {
	return server.ModelSettings{
		Class:                  m.Class,
		MemoryMB:               m.MemoryMB,
		ConcurrencyPerInstance: m.ConcurrencyPerInstance,
		LoadTime:               m.LoadTime.Duration(),
		ExpectedWork:           m.WorkTime.Duration(),
		Versions:               m.Versions,
	}
}
