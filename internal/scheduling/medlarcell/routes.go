package medlarcell

import (
	"fmt"
	"time"

	"medlarwheel"
)

// SetRoutes sets the services of all routes, as a version of the configuration states them. Waiting tasks, later steps and restarts
// of a submission follow its route to another service, and what runs ends where it runs. A submission whose route is gone
// stays with its last service. An older version than the last one has no effect.
func (c *Cell) SetRoutes(now time.Time, version medlarwheel.ConfigVersion, services map[string]medlarwheel.ServiceName) {
	if version <= c.routesVersion {
		return
	}
	c.routesVersion, c.routeServices = version, services
	moved := map[string]int{}
	for _, j := range c.jobs {
		if c.followRoute(j) {
			moved[j.submission.Route]++
			c.markDirty(j)
		}
	}
	for route, submissions := range moved {
		c.emit(Event{
			Kind: EventRouteMoved, Route: route, Count: submissions, Reason: fmt.Sprintf("to service %s by version %d", services[route], version),
		})
	}
}

// followRoute moves a job to the service of its route. It reports whether that is another one than before.
func (c *Cell) followRoute(j *job) bool {
	service, known := c.routeServices[j.submission.Route]
	if !known || j.state.IsFinal() || c.routesVersion < j.submission.ConfigVersion || service == j.submission.Service {
		return false
	}
	c.moveTo(j, service, c.routesVersion)
	return true
}

func (c *Cell) moveTo(j *job, service medlarwheel.ServiceName, version medlarwheel.ConfigVersion) {
	j.submission.Service, j.submission.ConfigVersion, j.moved = service, version, true
	for _, o := range j.created() {
		for _, s := range o.steps {
			if s.failure != nil {
				// The step has failed on workers of the former service.
				c.failureCache.setEntries(s)
			}
		}
	}
}
