// Package apikey holds the API keys of clients and their keyed digests.
//
// A key is a credential: who has it acts in the name of its tenant. A Key therefore never shows its text when it is formatted, logged or
// marshalled, and everything but the operator's configuration document and the memory of a request holds digests in place of keys. A digest is
// made under a Secret; equal keys have equal digests under one secret only, and a digest can't be turned back into its key.
package apikey
