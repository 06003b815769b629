package register

import "slices"

// mostAccepted bounds the digests of accepted configurations that are kept for changes that are sent again.
const mostAccepted = 1536

// ConfigVerdict says how a change of the configuration fares on top of a value.
type ConfigVerdict int

// The verdicts on a change of the configuration.
const (
	ConfigApplicable   ConfigVerdict = iota
	ConfigDuplicate                  // exactly this change was accepted before
	ConfigStaleBase                  // another version is current than the one it is based on
	ConfigStaleVersion               // its version is not above the current one
)

// CheckConfig says how a change to this version, based on another, fares on top of v. identity tells changes apart.
func (v *Value) CheckConfig(version, base uint64, identity Digest) ConfigVerdict {
	switch {
	case slices.Contains(v.AcceptedChanges, identity):
		return ConfigDuplicate
	case base != v.ConfigVersion:
		return ConfigStaleBase
	case version <= v.ConfigVersion:
		return ConfigStaleVersion
	}
	return ConfigApplicable
}

// SetConfig returns the change that puts a configuration with this digest in place of the one that it is based on. A configuration that
// comes whole is its own identity.
func SetConfig(version, base uint64, digest Digest) Change {
	return SetConfigWithIdentity(version, base, digest, digest)
}

// SetConfigWithIdentity is Configure for a change that is known by something else than by the configuration that it makes: it can be told to be a
// repetition when what it was made of is gone.
func SetConfigWithIdentity(version, base uint64, digest, identity Digest) Change {
	return func(current Value) (Value, bool) {
		if current.CheckConfig(version, base, identity) != ConfigApplicable {
			return current, false
		}
		current.ConfigVersion, current.ConfigDigest = version, digest
		current.AcceptedChanges = append(current.AcceptedChanges, identity)
		if excess := len(current.AcceptedChanges) - mostAccepted; excess > 0 {
			current.AcceptedChanges = slices.Delete(current.AcceptedChanges, 0, excess)
		}
		return current, true
	}
}
