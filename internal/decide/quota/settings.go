package quota

// Settings are the settings of a Limiter apart from its tree. The fingerprint of stored states depends on the order and values of
// the fields.
type Settings struct {
	Replicas        int     // sidecars that share the quotas; 0 counts as 1
	StretchFraction float64 // maximum fraction by which demand increases a sidecar's part of a group's quota
	RepayFraction   float64 // fraction of a debtor's inflow that is used for repayment
	FadeSeconds     float64 // time constant with which debts and credits fade exponentially
}

// Defaults of the settings. Danger: repayments reduce the share that a debtor gets; a group that has borrowed must still get its
// share to within 1 %.
const (
	DefaultRepayFraction   = 0.01
	DefaultFadeSeconds     = 6 * 3600.0
	DefaultStretchFraction = 0.1
)
