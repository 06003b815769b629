package register

import "slices"

// maxAcceptedChanges bounds Value.AcceptedChanges: a change that is sent again after this many later ones is no longer
// recognised as a duplicate.
const maxAcceptedChanges = 1536

// ConfigVerdict says whether a change of the configuration applies to a value.
type ConfigVerdict int

// The verdicts on a change of the configuration.
const (
	ConfigApplicable   ConfigVerdict = iota
	ConfigDuplicate                  // this change was accepted before; its sender gets the same answer again
	ConfigStaleBase                  // the change is based on a version other than the current one
	ConfigStaleVersion               // the version that the change leads to is not above the current one
)

// CheckConfig says whether a change from version base to version applies to v. identity identifies the change: see SetConfig
// and SetConfigWithIdentity.
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

// SetConfig returns the change from the configuration of version base to that of version, whose bytes have the given digest.
// The digest is also the change's identity.
func SetConfig(version, base uint64, digest Digest) Change {
	return SetConfigWithIdentity(version, base, digest, digest)
}

// SetConfigWithIdentity is SetConfig for a change whose identity is not the digest of the resulting configuration, such as a
// patch: a repeated patch must be recognised even if the configuration that it was applied to has been superseded.
func SetConfigWithIdentity(version, base uint64, digest, identity Digest) Change {
	return func(current Value) (Value, bool) {
		if current.CheckConfig(version, base, identity) != ConfigApplicable {
			return current, false
		}
		current.ConfigVersion, current.ConfigDigest = version, digest
		current.AcceptedChanges = append(current.AcceptedChanges, identity)
		if excess := len(current.AcceptedChanges) - maxAcceptedChanges; excess > 0 {
			current.AcceptedChanges = slices.Delete(current.AcceptedChanges, 0, excess)
		}
		return current, true
	}
}
