package main

import "encoding/json"

// route is a route of a manifest.
type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"pathPrefix"`
	Kind            string   `json:"kind"`
	Service         string   `json:"service"`
	TimeoutMs       int      `json:"timeoutMs"`
	TargetLatencyMs int      `json:"targetLatencyMs"`
	GapAimMs        int      `json:"gapAimMs,omitempty"`
	Priority        int      `json:"priority"`
	MaxAttempts     int      `json:"maxAttempts"`
	Resumable       bool     `json:"resumable,omitempty"`
	Sizes           []string `json:"sizes,omitempty"`
	SessionAffinity bool     `json:"sessionAffinity,omitempty"`
}

// publish writes a manifest with the version, as the operator does.
func (l *lab) publish(version int, routes []route, services ...string) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 110})
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": list,
		"tenants": []map[string]any{{"name": "tenant-1", "apiKeys": []string{"key-1"}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}})
	must(err)
	l.store.put("keyed.op", "config", value)
	l.note("manifest %d acknowledged", version)
}
