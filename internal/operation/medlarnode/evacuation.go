package medlarnode

import (
	"maps"
	"slices"
	"sync"

	"medlarwheel"
	"medlarwheel/internal/scheduling/medlarowner"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/platform"
)

// evacuationState is the set of data centres that the operator has evacuated, as of a version of the table.
type evacuationState struct {
	mu      sync.Mutex
	centres map[medlarwheel.DataCentreID]bool
	version medlarwheel.RowVersion
}

// apply updates the set from all rows of the operator's table, or from its changes. It reports whether the set has changed, and calls
// refused for rows that can't be decoded. A read that is older than the known set is ignored.
func (s *evacuationState) apply(rows []medlartable.Row, whole bool, version medlarwheel.RowVersion, refused func(r medlartable.Row, err error)) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.version {
		return false
	}
	centres := map[medlarwheel.DataCentreID]bool{}
	if !whole {
		maps.Copy(centres, s.centres)
	}
	for _, r := range rows {
		if !platform.IsEvacuationRow(r) {
			continue
		}
		id, err := platform.DecodeEvacuation(r)
		if err != nil {
			refused(r, err)
		}
		if r.Deleted || err != nil {
			delete(centres, id)
		} else {
			centres[id] = true
		}
	}
	changed = !maps.Equal(centres, s.centres)
	s.centres, s.version = centres, version
	return changed
}

// list returns the evacuated data centres and the version of the table.
func (s *evacuationState) list() ([]medlarwheel.DataCentreID, medlarwheel.RowVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.centres)), s.version
}

// applyEvacuations updates the evacuated data centres from rows of the operator's table, and passes a changed set to the owner on this
// instance.
func (n *Node) applyEvacuations(rows []medlartable.Row, whole bool, version medlarwheel.RowVersion) {
	changed := n.evacuations.apply(rows, whole, version, func(r medlartable.Row, err error) {
		n.log.Error().Str("event", "evacuation-row-refused").Uint64("row-version", uint64(r.Version)).Err(err).
			Msg("operator's evacuation is invalid and has no effect; write the row again or remove it")
	})
	if !changed {
		return
	}
	centres, _ := n.evacuations.list()
	n.log.Info().Str("event", "evacuations-changed").Uint64("version", uint64(version)).Strs("data-centres", texts(centres)).Msg("")
	n.meter.Gauge("evacuations", int64(len(centres)))
	if owner := n.owner.Load(); owner != nil {
		n.passEvacuations(owner)
	}
}

// passEvacuations passes the evacuated data centres to an owner. It passes nothing before they have been read.
func (n *Node) passEvacuations(owner *medlarowner.Owner) {
	if centres, version := n.evacuations.list(); version > 0 {
		owner.SetEvacuations(version, centres)
	}
}

func texts[T ~string](values []T) []string {
	converted := make([]string, len(values))
	for i, v := range values {
		converted[i] = string(v)
	}
	return converted
}
