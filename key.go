package medlarwheel

import (
	"crypto/sha256"
	"crypto/subtle"
)

// SecretKey is a secret that the other side has to present.
type SecretKey string

// Matches reports whether the presented key is k. Digests of equal length are compared, so that the time taken depends
// neither on the content nor on the length of the key.
func (k SecretKey) Matches(presented []byte) bool {
	want, got := sha256.Sum256([]byte(k)), sha256.Sum256(presented)
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}
