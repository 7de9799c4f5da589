package main

import (
	"heatherrelay/platform/platformtest"
)

// The names of the deployment.
const (
	modelService = "models"
	plainService = "ledger"
	model        = "base"
	host         = "front.example"
	key          = "key-of-roads"
	team         = "roads"
)

// publish writes the configuration of the deployment to the store.
func publish(store *platformtest.Store) {
	route := func(name, kind, service string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 15000, "target-latency-ms": 1000,
			"gap-aim-ms": 300, "priority": 1, "service": service, "max-attempts": attempts, "anonymous": false, "can-resume": resume,
		}
	}
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{
			route("stream", "streaming", modelService, 2, true),
			route("post", "non_idempotent", plainService, 1, false),
			route("read", "idempotent", plainService, 2, false),
		},
		"services": []any{
			map[string]any{"name": modelService, "health-path": "/health", "max-connections": 630, "engine": map[string]any{
				"slots": 128, "kv-capacity": 138486, "weights-mb": 16700, "adapter-slots": adapterSlots, "loads-per-s": 2.9,
				"models": []any{map[string]any{"name": model, "weights-mb": 16100, "load-time-s": 0.95, "adapters": 3000, "adapter-mb": 14}},
			}},
			map[string]any{"name": plainService, "health-path": "/health", "max-connections": 110},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": team, "api-keys": []string{key}, "priority": 1, "unit": "tokens", "plain-tokens": 200, "rate-per-s": 0, "burst": 0}},
	})
}
