// Package medlarburnrate measures how fast each client account's requests consume the error budget of a template.
//
// A Recorder counts the results of requests in one series for each template and client account. A series has a ring of
// time buckets for each of the windows of 5 minutes, 1 hour, 6 hours and 3 days. Memory is bounded: a series takes 3 KB,
// and the number of series is limited. Results beyond the limit are counted under OverflowKey. A Snapshot is the content
// of a Recorder in the form in which entry instances exchange it. A SnapshotSet keeps the newest snapshot of each
// incarnation of each instance, so that a snapshot that arrives twice or late is not counted twice. NewReport calculates
// burn rates from snapshots and objectives.
//
// A request counts against the budget if it was slow (the response came after the objective's latency), refused or
// unknown. Refused requests count in full, like slow ones, because the client did not get its response in time, whatever
// the reason. That includes quotas and full queues. Only requests that can never be served (bad request, unknown
// template) are excluded. The burn rate of a window is the share of bad results divided by the share that the objective
// allows: at 1 the budget of the window is consumed exactly. The remaining budget is 1 minus the burn rate. It is
// negative if the budget is overspent.
//
// The package reads no clock and does no I/O. A Recorder is safe for concurrent use; the other types are not.
//
// # Usage
//
//	recorder := medlarburnrate.NewRecorder(medlarburnrate.DefaultConfig())
//	if result, ok := medlarburnrate.Classify(outcome, reason, latency, objective); ok {
//		recorder.Record(now, medlarburnrate.SeriesKey{Template: "hold-check", Account: "parents"}, result)
//	}
//
// Merge the snapshots of all instances and report:
//
//	snapshots := medlarburnrate.NewSnapshotSet(medlarburnrate.DefaultMaxSnapshots)
//	err := snapshots.Add(now, recorder.Snapshot(now, source))
//	report := medlarburnrate.NewReport(now, snapshots.Snapshots(), objectives)
//	err = report.WriteTable(w)
package medlarburnrate
