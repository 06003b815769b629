// Package apikey holds the API keys of clients and their keyed digests.
//
// A key is a credential: whoever has it can act for its tenant. A Key therefore never shows its text when it is formatted, logged or marshalled.
// Only the operator's configuration document and requests in memory hold keys; everything else holds digests. A digest is computed with a Secret:
// equal keys have equal digests only under the same secret, and a digest doesn't reveal its key.
package apikey
