package medlarlease

import (
	"encoding/json"

	"github.com/pkg/errors"

	"medlarwheel"
)

// InstancePrefix returns the start of the keys of the lease rows of a data centre. Watching the rows of all 144 instances
// of the design size would take more than the 15 KB/s that a node may use.
func InstancePrefix(dc medlarwheel.DataCentreID) string { return "entry/" + string(dc) + "/" }

// InstanceKey returns the key of an instance's lease row.
func InstanceKey(dc medlarwheel.DataCentreID, id medlarwheel.InstanceID) string {
	return InstancePrefix(dc) + string(id)
}

// InstanceLease is the row that an entry instance renews. One write renews all of the instance's ownership. A higher
// incarnation in the row means that the earlier process has ended.
type InstanceLease struct {
	Instance medlarwheel.EntryInstance `json:"instance"`
	// Counter counts the renewals of the incarnation, so that every renewal changes the row.
	Counter uint64 `json:"counter"`
	// MapEpoch is the epoch of the shard map that the instance acts by. It has stopped whatever an older map gave it.
	MapEpoch medlarwheel.Epoch `json:"map-epoch"`
}

// Check reports every fault of l.
func (l *InstanceLease) Check() medlarwheel.Faults { return l.Instance.Check() }

// DecodeInstanceLease reads an instance's lease row.
func DecodeInstanceLease(row medlarwheel.Row) (InstanceLease, error) {
	var lease InstanceLease
	if err := decodeRow(row, &lease); err != nil {
		return InstanceLease{}, err
	}
	return lease, nil
}

// decodeRow reads a row that instances of this program wrote. Fields of a newer release are passed over, because
// releases overlap while instances restart.
func decodeRow(row medlarwheel.Row, value interface{ Check() medlarwheel.Faults }) error {
	if row.Deleted || row.Version == 0 {
		return medlarwheel.WithOperation("decode row "+row.Key, "", medlarwheel.ErrNotFound)
	}
	if err := json.Unmarshal(row.Value, value); err != nil {
		return medlarwheel.WithOperation("decode row "+row.Key, "", err)
	}
	return medlarwheel.WithOperation("decode row "+row.Key, "", value.Check().Err())
}

func encodeRow(value any) (json.RawMessage, error) {
	data, err := json.Marshal(value)
	return data, errors.Wrap(err, "encode row")
}
