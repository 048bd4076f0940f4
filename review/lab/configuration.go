package main

import (
	"encoding/json"
	"fmt"
)

// routeOf is a route of a configuration.
type routeOf struct {
	Name           string  `json:"name"`
	Prefix         string  `json:"prefix"`
	Kind           string  `json:"kind"`
	TimeoutS       float64 `json:"timeoutS,omitempty"`
	TargetLatencyS float64 `json:"targetLatencyS"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service"`
	Attempts       int     `json:"attempts"`
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, idleTimeoutS float64, routes ...routeOf) []byte {
	var services []map[string]any
	for _, name := range []string{"desk", "ledger"} {
		services = append(services, map[string]any{"name": name, "healthCheckPath": "/healthz", "maxConnections": 120, "protocol": "h1", "tls": false})
	}
	// The fields can all be encoded.
	content, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": services,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": idleTimeoutS},
		"virtualHosts": []map[string]any{{"hostname": hostName, "paths": routes}},
	})
	return content
}
