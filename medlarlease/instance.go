package medlarlease

import (
	"encoding/json"

	"github.com/pkg/errors"

	"medlarwheel"
)

// InstancePrefix returns the key prefix of the lease rows of a data centre. Rows are read per data centre, because reading
// those of all 144 instances of the design size would exceed the limit of 15 KB/s per node.
func InstancePrefix(dc medlarwheel.DataCentreID) string { return "entry/" + string(dc) + "/" }

// InstanceKey returns the key of an instance's lease row.
func InstanceKey(dc medlarwheel.DataCentreID, id medlarwheel.InstanceID) string {
	return InstancePrefix(dc) + string(id)
}

// InstanceLease is the row that an entry instance writes to renew its lease. One write renews the ownership of all its
// shards. A higher incarnation in the row means that the earlier process has ended.
type InstanceLease struct {
	Instance medlarwheel.EntryInstance `json:"instance"`
	// Counter counts the renewals of the incarnation, so that every renewal changes the row.
	Counter uint64 `json:"counter"`
	// MapEpoch is the epoch of the shard map that the instance uses. The instance no longer acts on shards that only an
	// older map assigned to it.
	MapEpoch medlarwheel.Epoch `json:"map-epoch"`
}

// Check reports every invalid value of l.
func (l *InstanceLease) Check() medlarwheel.Faults { return l.Instance.Check() }

// DecodeInstanceLease decodes an instance's lease row.
func DecodeInstanceLease(row medlarwheel.Row) (InstanceLease, error) {
	var lease InstanceLease
	if err := decodeRow(row, &lease); err != nil {
		return InstanceLease{}, err
	}
	return lease, nil
}

// decodeRow decodes a row written by an instance of this program. Unknown fields are ignored, because two releases run
// side by side during a rolling restart.
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
