package medlarwheel

import (
	"crypto/sha256"
	"crypto/subtle"
)

// SecretKey is a shared secret that authenticates a peer or an operator.
type SecretKey string

// Matches reports whether the presented key equals k. It compares digests of equal length in constant time, so that the
// duration reveals neither the content nor the length of the key.
func (k SecretKey) Matches(presented []byte) bool {
	want, got := sha256.Sum256([]byte(k)), sha256.Sum256(presented)
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1
}
