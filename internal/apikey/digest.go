package apikey

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
)

// DigestSize is the size of a Digest in bytes. 128 bits make guesses and accidental collisions practically impossible.
const DigestSize = 16

// Digest is the keyed digest (HMAC) of an API key.
type Digest [DigestSize]byte

// Secret is the HMAC secret with which digests are computed.
type Secret []byte

// NewSecret returns the secret for the keys of a document. Every process derives the same one. Each version of a configuration has a secret of its
// own, and nobody can compute digests in advance without the complete document, including its keys.
func NewSecret(document []byte) Secret {
	hashed := sha256.New()
	hashed.Write([]byte("hazelwheel API keys\x00"))
	hashed.Write(document)
	return hashed.Sum(nil)
}

// Digester computes digests with one secret. It is not safe for concurrent use.
type Digester struct{ mac hash.Hash }

// NewDigester returns a digester that uses the secret.
func (s Secret) NewDigester() *Digester { return &Digester{hmac.New(sha256.New, s)} }

// Digest returns the digest of a key, which must not be the zero value: HMAC-SHA-256, truncated.
func (d *Digester) Digest(key Key) (digest Digest) {
	d.mac.Reset()
	d.mac.Write([]byte(*key.text))
	var sum [sha256.Size]byte
	copy(digest[:], d.mac.Sum(sum[:0]))
	return digest
}
