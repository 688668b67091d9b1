// Package medlarroute represents the operator's configuration as routes and services, and matches requests with routes.
//
// A Table is immutable. A newer version replaces the whole table, so that each request uses a single version.
//
// # Usage
//
//	route, rest, ok := table.Match("nony24.example", "/lohu930/5c0e7a21d94b36f8")
//	// rest is "5c0e7a21d94b36f8"
package medlarroute

import (
	"strings"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// Route is a queue of submissions, selected by the host and the path of a request.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Service    medlarwheel.ServiceName
	Policy     medlarsubmission.Policy `json:"Terms"`
	// Version is that of the table.
	Version medlarwheel.ConfigVersion `json:"-"`
}

// Service is a pool of workers that run the tasks of routes.
type Service struct {
	Name medlarwheel.ServiceName
	// EnforcesCapacity means that the workers reject tasks that exceed their free capacity.
	EnforcesCapacity bool `json:"GuardsCapacity"`
	// Spare means that the workers of the service are switched off.
	Spare bool
}

// Limits are the maximum sizes of clients' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Table is one version of the configuration.
type Table struct {
	Version  medlarwheel.ConfigVersion
	Routes   []Route
	Services map[medlarwheel.ServiceName]Service
	Limits   Limits
	byHost   map[string][]*Route
}

// NewTable returns a table and indexes its routes by host.
func NewTable(version medlarwheel.ConfigVersion, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version: version, Routes: routes, Limits: limits,
		Services: make(map[medlarwheel.ServiceName]Service, len(services)), byHost: map[string][]*Route{},
	}
	for i := range routes {
		r := &routes[i]
		r.Version = version
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	return t
}

// RouteServices returns the services of the routes by their names.
func (t *Table) RouteServices() map[string]medlarwheel.ServiceName {
	services := make(map[string]medlarwheel.ServiceName, len(t.Routes))
	for i := range t.Routes {
		services[t.Routes[i].Name] = t.Routes[i].Service
	}
	return services
}

// Match returns the route with the given host and the longest matching path prefix, and the rest of the path.
func (t *Table) Match(host, path string) (route *Route, rest string, ok bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (route == nil || len(r.PathPrefix) > len(route.PathPrefix)) {
			route = r
		}
	}
	if route == nil {
		return nil, "", false
	}
	return route, path[len(route.PathPrefix):], true
}
