// Package medlarburnrate measures how fast each client account's requests use up the error budget of a template.
//
// A Recorder counts the results of requests by pair of template and client account, in rings of coarse time buckets for
// windows of 5 minutes, 1 hour, 6 hours and 3 days. Its memory is bounded: 3 KB for each pair, and a cap on the pairs beyond
// which results are counted under one common pair. Counters is a snapshot of a Recorder in the form in which
// entry instances exchange it. A Collection keeps the newest snapshot of each incarnation of each instance, so that a
// snapshot that arrives twice or late is not counted twice. NewReport turns snapshots and objectives into burn rates.
//
// A request counts against the budget if it was slow (answered after the objective's latency), refused or unknown.
// Refused requests count in full, like slow ones: the caller did not get its response in time, whatever the reason, and
// that includes quotas and full queues. Only requests that can never be served (bad request, unknown template) are left
// out. The burn rate of a window is the share of bad results divided by the share that the objective allows: at 1 the
// budget of the window is used up exactly. The budget left is 1 less the burn rate and is negative if overspent.
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
//	collection := medlarburnrate.NewSnapshotSet(medlarburnrate.DefaultMaxSnapshots)
//	err := collection.Add(now, recorder.Counters(now, source))
//	report := medlarburnrate.NewReport(now, collection.Counters(), objectives)
//	err = report.WriteTable(w)
package medlarburnrate
