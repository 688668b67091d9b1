package medlarclaim

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
)

// KeyHash stands for a request key in votes. It is a cryptographic hash, because callers choose the keys and a
// collision would hand one caller the response of another.
type KeyHash [16]byte

// HashKey returns the first 16 bytes of the SHA-256 of the key.
func HashKey(key medlarwheel.RequestKey) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(sum[:len(KeyHash{})])
}

// AttemptHash stands for an attempt id in the records of a seat. Attempt ids are made by entry instances.
type AttemptHash uint64

// HashAttempt returns the xxhash of the attempt id.
func HashAttempt(attempt medlarwheel.AttemptID) AttemptHash {
	return AttemptHash(xxhash.Sum64String(string(attempt)))
}

// String formats h as 16 hexadecimal digits, which is its form in messages.
func (h AttemptHash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// KeyParts is what the text of a request key says about itself. Both fields are empty for a key without the prefixes.
type KeyParts struct {
	HomeDataCentre medlarwheel.DataCentreID
	// CreatedAt is the creation time in the key.
	CreatedAt time.Time
}

// maxTimestampDigits keeps the milliseconds within the range of time.Time.
const maxTimestampDigits = 15

// ParseKey reads "<data-centre>:<rest>" and "<data-centre>:<unix-ms>:<rest>". Any other key of 1 to 200 visible ASCII
// characters is accepted and has no parts.
func ParseKey(key medlarwheel.RequestKey) (KeyParts, medlarwheel.Faults) {
	text := string(key)
	if len(text) == 0 || len(text) > medlarwheel.MaxRequestKeyLength || !isVisibleASCII(text) {
		return KeyParts{}, medlarwheel.Faults{{
			Path: "request-key", Value: strconv.Quote(text),
			Accepted: fmt.Sprintf("1 to %d visible ASCII characters", medlarwheel.MaxRequestKeyLength),
		}}
	}
	home, rest, found := strings.Cut(text, ":")
	if !found || medlarwheel.CheckName("request-key", home).Err() != nil {
		return KeyParts{}, nil
	}
	parts := KeyParts{HomeDataCentre: medlarwheel.DataCentreID(home)}
	if digits, _, timed := strings.Cut(rest, ":"); timed && len(digits) <= maxTimestampDigits {
		if ms, err := strconv.ParseUint(digits, 10, 63); err == nil {
			parts.CreatedAt = time.UnixMilli(int64(ms))
		}
	}
	return parts, nil
}

func isVisibleASCII(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// HomeDataCentre returns the data centre whose claim group decides on the key: the one that the key names if it is in
// known, else the one with the highest rendezvous hash. It returns "" if known is empty.
func HomeDataCentre(key medlarwheel.RequestKey, known []medlarwheel.DataCentreID) medlarwheel.DataCentreID {
	parts, _ := ParseKey(key)
	var home medlarwheel.DataCentreID
	var highest uint64
	var digest xxhash.Digest
	for _, dc := range known {
		if dc == parts.HomeDataCentre {
			return dc
		}
		digest.Reset()
		// Write to an xxhash digest cannot fail.
		_, _ = digest.WriteString(string(dc))
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(string(key))
		weight := digest.Sum64()
		if home == "" || weight > highest || (weight == highest && dc < home) {
			home, highest = dc, weight
		}
	}
	return home
}
