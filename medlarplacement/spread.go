package medlarplacement

import "medlarwheel"

// spreadKey names a rack of a data centre for one group. An empty rack stands for the whole data centre and an empty data
// centre for the whole index.
type spreadKey struct {
	group      Group
	dataCentre medlarwheel.DataCentreID
	rack       medlarwheel.RackID
}

// spread counts the tasks of each group by rack and data centre.
type spread map[spreadKey]int32

func (s spread) add(w *worker, group Group, delta int32) {
	if group == "" {
		return
	}
	s.bump(spreadKey{group: group}, delta)
	s.bump(spreadKey{group: group, dataCentre: w.dataCentre}, delta)
	s.bump(rackKey(w, group), delta)
}

func (s spread) bump(key spreadKey, delta int32) {
	count := s[key] + delta
	if count <= 0 {
		delete(s, key)
		return
	}
	s[key] = count
}

func (s spread) onRack(w *worker, group Group) int { return int(s[rackKey(w, group)]) }

// inDataCentre returns the share of the group's tasks in w's data centre.
func (s spread) inDataCentre(w *worker, group Group) float64 {
	return share(int64(s[spreadKey{group: group, dataCentre: w.dataCentre}]), int64(s[spreadKey{group: group}]))
}

// rackKey is distinct from the key of a data centre because racks without a name are counted under a name of their own.
func rackKey(w *worker, group Group) spreadKey {
	rack := w.rack
	if rack == "" {
		rack = "-"
	}
	return spreadKey{group: group, dataCentre: w.dataCentre, rack: rack}
}
