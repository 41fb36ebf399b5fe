package standin

import "fmt"

// Names in the configuration that SiteConfig returns.
const (
	SiteHost     = "site.example"
	SiteService  = "svc"
	SiteKey      = "key-one"
	SiteOtherKey = "key-two"
)

// SiteFurtherKey returns the key of a further customer, as AddSiteCustomers adds them.
func SiteFurtherKey(i int) string { return fmt.Sprintf("key-further-%d", i) }

// AddSiteCustomers adds n customers without bounds to a configuration.
func AddSiteCustomers(config map[string]any, n int) {
	customers, _ := config["tenants"].([]any)
	for i := range n {
		customers = append(customers, siteCustomer(fmt.Sprintf("further-%d", i), SiteFurtherKey(i), 0))
	}
	config["tenants"] = customers
}

func siteCustomer(name, key string, cpu int) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "weight": 100, "cap": map[string]any{"cpu": cpu, "mem_mb": 0, "gpu": 0}}
}

// SiteConfig returns a configuration as the platform's operator writes it. It has
// an urgent queue, for which the scheduler asks the adviser about eligible
// runners, a queue for bulk work, and two tenants, of which the second may use
// up to four cores.
func SiteConfig(version int) map[string]any {
	route := func(name, prefix string, priority int, advice bool) map[string]any {
		out := map[string]any{
			"name": name, "host": SiteHost, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 1000,
			"priority": priority, "service": SiteService, "attempts": 2, "stretch": 2.0, "public": false,
		}
		if advice {
			out["advice"] = map[string]any{"decide_ms": 5.0, "each_ms": 0.1, "valid_ms": 2000}
		}
		return out
	}
	const otherCapMilliCores = 4000
	return map[string]any{
		"version": version,
		"routes": []any{
			route("urgent", "/urgent/", 0, true),
			route("bulk", "/bulk/jobs/", 2, false),
		},
		"services": []any{map[string]any{"name": SiteService, "admission_check": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{siteCustomer("t1", SiteKey, 0), siteCustomer("t2", SiteOtherKey, otherCapMilliCores)},
	}
}
