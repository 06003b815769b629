package apikey

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
)

// DigestSize is the size of a Digest in bytes. 128 bits are beyond guessing and beyond chance.
const DigestSize = 16

// Digest is the keyed digest of a key.
type Digest [DigestSize]byte

// Secret is what digests are made under.
type Secret []byte

// NewSecret returns the secret for the keys of a document. Every process derives the same one, and who doesn't know the document, keys
// included, can prepare no digests for it: each version of a configuration has digests of its own.
func NewSecret(document []byte) Secret {
	hashed := sha256.New()
	hashed.Write([]byte("hazelwheel API keys\x00"))
	hashed.Write(document)
	return hashed.Sum(nil)
}

// Digester makes digests under one secret. It is for one goroutine.
type Digester struct{ mac hash.Hash }

// NewDigester returns a digester.
func (s Secret) NewDigester() *Digester { return &Digester{hmac.New(sha256.New, s)} }

// Digest returns the digest of a key, which must not be the zero value: HMAC-SHA-256, truncated.
func (d *Digester) Digest(key Key) (digest Digest) {
	d.mac.Reset()
	d.mac.Write([]byte(*key.text))
	var sum [sha256.Size]byte
	copy(digest[:], d.mac.Sum(sum[:0]))
	return digest
}
