package medlarownership

import (
	"time"

	"medlarwheel"
)

// AsksSince reports whether the owner goes on without the table only by promises of all instances that have been registered since the
// given version without a gap. The owner states the version of its copy of the registry with its claim and its renewals, and replaces the
// copy by later ones only. What it has obtained by an earlier copy before a renewal ends no later than what the renewal grants.
func (m *Monitor) AsksSince(registered medlarwheel.RowVersion) bool {
	return registered > 0 && max(m.term.RegistryVersion, m.ownRenewal().RegistryVersion) >= registered
}

// KnowsOutageLeases reports whether a process that has started by the given time, in an instance registered since the given version, knows
// all outage leases of the owner: those before its last renewal are stated there, and each later one was announced to this process, since
// the owner announces none within OutageThreshold of the last renewal that it knows to be stored.
func (m *Monitor) KnowsOutageLeases(registered medlarwheel.RowVersion, startedBy medlarwheel.TableTime) bool {
	r := m.ownRenewal()
	return registered > 0 && r.RegistryVersion >= registered && r.ConfirmedAt > 0 && startedBy > 0 &&
		time.Duration(startedBy-r.ConfirmedAt) < m.config.OutageThreshold
}

// ownRenewal returns the last renewal of the current owner, or none.
func (m *Monitor) ownRenewal() Renewal {
	if m.renewal.Term != m.term.Number {
		return Renewal{}
	}
	return m.renewal
}
