package quota

// Settings configure a Limiter beside its tree. The fingerprint of stored states depends on the order and values of the fields.
type Settings struct {
	Replicas        int     // sidecars that share the quotas; 0 counts as 1
	StretchFraction float64 // by how much demand may stretch a sidecar's part of a group's quota
	RepayFraction   float64 // fraction of a debtor's inflow that repays its debt
	FadeSeconds     float64 // time in which debts and credits fade to 1/e
}

// Defaults of the settings. Danger: what a debtor repays is missing from its share; a group that has borrowed must still get its
// share to within a hundredth.
const (
	DefaultRepayFraction   = 0.01
	DefaultFadeSeconds     = 6 * 3600.0
	DefaultStretchFraction = 0.1
)
