package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// hashBytes is the length of a Key and of a Digest in bytes.
const hashBytes = 16

// Key identifies an idempotency key of one client account. It is a hash, so the log
// holds neither account names nor callers' keys.
type Key [hashBytes]byte

// Digest is a hash of a request's method, path and body.
type Digest [hashBytes]byte

// NewKey hashes a client account and its idempotency key.
func NewKey(account, key string) Key {
	return Key(hashFields([]byte(account), []byte(key)))
}

// NewDigest hashes the method, path and body of a request.
func NewDigest(method, path string, body []byte) Digest {
	return Digest(hashFields([]byte(method), []byte(path), body))
}

// hashFields hashes each field with its length before it, so that different lists
// of fields never give the same input.
func hashFields(fields ...[]byte) [hashBytes]byte {
	h := sha256.New()
	var size [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	return [hashBytes]byte(h.Sum(nil)[:hashBytes])
}

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText encodes the key in hex.
func (k Key) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, k[:]), nil }

// UnmarshalText decodes a key from hex.
func (k *Key) UnmarshalText(text []byte) error { return decodeHash(k[:], text) }

// MarshalText encodes the digest in hex.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes a digest from hex.
func (d *Digest) UnmarshalText(text []byte) error { return decodeHash(d[:], text) }

// decodeHash decodes the hex form of a Key or Digest.
func decodeHash(to, text []byte) error {
	if len(text) != hex.EncodedLen(hashBytes) {
		return errors.Errorf("hash of %d characters, want %d", len(text), hex.EncodedLen(hashBytes))
	}
	_, err := hex.Decode(to, text)
	return errors.Wrap(err, "hash")
}

// uuidLength is the length of a UUID with its hyphens, in characters.
const uuidLength = 36

// KeyCreatedMS returns the creation time, in milliseconds since 1970, that an
// idempotency key states by being a UUID of version 7; 0 when it states none.
func KeyCreatedMS(key string) int64 {
	if len(key) != uuidLength || key[14] != '7' {
		return 0
	}
	for _, i := range []int{8, 13, 18, 23} {
		if key[i] != '-' {
			return 0
		}
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != hashBytes || raw[8]>>6 != 2 {
		return 0
	}
	var ms [8]byte
	copy(ms[2:], raw[:6])
	return int64(binary.BigEndian.Uint64(ms[:]))
}
