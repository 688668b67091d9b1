package medlarowner

import (
	"time"

	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarcellstore"
)

// isolation finds the record for which the table refuses batches, so that all others are stored. The number of records in a batch
// is halved with each refusal and doubled with each batch that is stored. Before a record is blamed that is refused alone, a
// batch without records must have been stored: otherwise the table refuses everything.
type isolation struct {
	// maxRecords is the number of records in the next batch, if active.
	active     bool
	maxRecords int
	// probeStored is true once a batch without records was stored since the last refusal.
	probeStored bool
}

func (i *isolation) isActive() bool { return i.active }

// isProbing reports whether the next batch holds no records.
func (i *isolation) isProbing() bool { return i.active && i.maxRecords == 0 }

// limit returns the number of records in the next batch.
func (i *isolation) limit() int {
	if i.active {
		return i.maxRecords
	}
	return medlarcellstore.MaxRecords
}

// batchStored records that the table has stored a batch.
func (i *isolation) batchStored() {
	if !i.active {
		return
	}
	if i.maxRecords == 0 {
		i.maxRecords, i.probeStored = 1, true
		return
	}
	i.probeStored = false
	i.maxRecords *= 2
	i.active = i.maxRecords < medlarcellstore.MaxRecords
}

// batchRefused records that the table has refused a batch with so many records. It reports whether the only record of the batch
// is to blame.
func (i *isolation) batchRefused(records int) (blamed bool) {
	if records == 1 && i.probeStored {
		i.probeStored = false
		return true
	}
	i.active, i.probeStored = true, false
	i.maxRecords = records / 2
	return false
}

// handleInvalidBatch handles a batch that the table refuses for its content. A submission whose record alone is refused is set
// aside.
func (o *Owner) handleInvalidBatch(now time.Time, batch *medlarcell.Batch) {
	blamed := o.isolation.batchRefused(len(batch.Records))
	o.Log.Error().Str("event", "flush-refused").Int("records", len(batch.Records)).Bool("blamed", blamed).
		Msg("table refuses the content of a batch; looking for the record at fault")
	if !blamed {
		o.cell.FlushFailed(batch)
		// A batch without records that is refused is not repeated without a pause either.
		o.flushedAt = now.Add(o.config.FlushRetry)
		return
	}
	record := batch.Records[0]
	o.Log.Error().Str("event", "submission-set-aside").Str("id", string(record.Submission)).Int("segment", record.Segment).
		Msg("table refuses the record of a submission; failing it, so that all others are recorded")
	o.cell.SetAside(now, batch)
}
