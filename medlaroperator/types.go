package medlaroperator

import (
	"medlarwheel"
	"medlarwheel/medlarconfig"
)

// Paths of the operator interface.
const (
	PathTemplates = "/v1/templates"
	PathAccounts  = "/v1/accounts"
	PathWatch     = "/v1/watch"
	PathMembers   = "/v1/members"
	PathUpstreams = "/v1/upstreams"
	PathWorkers   = "/v1/workers"
	PathTasks     = "/v1/tasks"
	PathJobs      = "/v1/jobs"
	PathDrain     = "/v1/drain"
	PathBurnRate  = "/v1/report/burn"
	PathMetrics   = "/v1/metrics"
	PathHealth    = "/healthz"
	PathReady     = "/readyz"
)

// Headers of the operator interface.
const (
	HeaderAuthor      = "Medlar-Author"
	HeaderOperatorKey = "Medlar-Operator-Key"
)

// Code classifies an error of the operator interface.
type Code string

// The codes of errors.
const (
	CodeBadInput       Code = "bad-input"
	CodeConflict       Code = "conflict"
	CodeNotFound       Code = "not-found"
	CodeForbidden      Code = "forbidden"
	CodeUnavailable    Code = "unavailable"
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeInternal       Code = "internal"
)

// Error is an error of the operator interface.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Faults lists everything wrong with the input.
	Faults medlarwheel.Faults `json:"faults,omitempty"`
	// Conflict names the change that won.
	Conflict *medlarconfig.VersionConflict `json:"conflict,omitempty"`
	// RetryAfter is the time to come back. Zero means that coming back does not help.
	RetryAfter medlarwheel.Duration `json:"retry-after,omitempty"`
}

// Error returns the message, and the faults on lines of their own.
func (e *Error) Error() string {
	if len(e.Faults) == 0 {
		return e.Message
	}
	return e.Message + "\n" + e.Faults.Error()
}

// ConfigList is a list of configuration entries with the version in force.
type ConfigList struct {
	Version medlarwheel.ConfigVersion `json:"version"`
	Items   []medlarwheel.ConfigItem  `json:"items"`
}

// WriteResult is the result of a committed change.
type WriteResult struct {
	Key     string                    `json:"key"`
	Version medlarwheel.ConfigVersion `json:"version"`
}

// Member is one entry instance as the asked instance sees it.
type Member struct {
	medlarwheel.EntryInstance
	Status string `json:"status"`
	Self   bool   `json:"self,omitempty"`
}

// MemberList is the membership as the asked instance sees it.
type MemberList struct {
	ConfigVersion medlarwheel.ConfigVersion                      `json:"config-version"`
	Rosters       map[medlarwheel.DataCentreID]medlarwheel.Epoch `json:"rosters"`
	Members       []Member                                       `json:"members"`
}

// UpstreamStatus is one upstream as the asked instance sees it.
type UpstreamStatus struct {
	medlarwheel.Upstream
	Healthy     bool                    `json:"healthy"`
	InFlight    medlarwheel.Slots       `json:"in-flight"`
	OwnSlots    medlarwheel.Slots       `json:"own-slots"`
	Connections medlarwheel.Connections `json:"connections"`
}

// UpstreamList lists the upstreams that the asked instance knows.
type UpstreamList struct {
	Upstreams []UpstreamStatus `json:"upstreams"`
}
