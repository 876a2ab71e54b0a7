package main

import (
	"encoding/json"
	"fmt"
)

// routeConfig is a route of the operator's configuration.
type routeConfig struct {
	name, host, prefix, kind, service string
	timeoutMS, aimMS, priority        int
	attempts                          int
	public                            bool
}

// tenantConfig is a tenant of the operator's configuration.
type tenantConfig struct {
	name        string
	keys        []string
	rate, burst int
}

// configText encodes a configuration as the pages show it. Without tenants it has no such field.
func configText(version int, services []string, routes []routeConfig, tenants []tenantConfig) []byte {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMS, r.aimMS, r.priority, nil, r.attempts, r.public, r.service})
	}
	serviceRows := [][]any{}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 1054, "h1", false})
	}
	c := map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   map[string]any{"columns": []string{"name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "traffic-split", "attempts", "public", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health-check-path", "max-connections", "protocol", "tls"}, "rows": serviceRows},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if tenants != nil {
		tenantRows := [][]any{}
		for _, t := range tenants {
			tenantRows = append(tenantRows, []any{t.name, t.keys, 1, t.rate, t.burst})
		}
		c["tenants"] = map[string]any{"columns": []string{"name", "api-keys", "priority", "requests-per-s", "burst"}, "rows": tenantRows}
	}
	text, _ := json.Marshal(c)
	return text
}
