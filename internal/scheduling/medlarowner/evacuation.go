package medlarowner

import (
	"time"

	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

// SetEvacuations passes the evacuated data centres, as of a version of the table, to the scheduler.
func (o *Owner) SetEvacuations(version medlarwheel.RowVersion, centres []medlarwheel.DataCentreID) {
	o.postToControl(func(time.Time) { o.setEvacuations(version, centres) })
}

// setEvacuations passes the evacuated data centres to the scheduler unless newer ones are known: the read at the start of the ownership
// may be ahead of the instance's feed.
func (o *Owner) setEvacuations(version medlarwheel.RowVersion, centres []medlarwheel.DataCentreID) {
	if version < o.evacuationsVersion {
		return
	}
	o.evacuationsVersion = version
	o.cell.SetEvacuations(centres)
}

// decodeEvacuations decodes the rows of evacuated data centres. Other systems may write such rows too, so one that can't be decoded is
// only a warning.
func (o *Owner) decodeEvacuations(rows []medlartable.Row) []medlarwheel.DataCentreID {
	return decodeRows(rows, o.Evacuations.Decode, o.unreadableRowLogger(zerolog.WarnLevel))
}

// reportWorkerGauges reports how many workers get no or fewer tasks for reasons that an operator can end or wait for.
func (o *Owner) reportWorkerGauges() {
	evacuated, cold := o.cell.ReducedWorkers()
	o.Meter.Gauge("cell.evacuated-workers", int64(evacuated))
	o.Meter.Gauge("cell.cold-workers", int64(cold))
}
