package quota

// Settings are what a Machine goes by beside its tree.
type Settings struct {
	Replicas        int     // sidecars that share the quotas; 0 means 1
	StretchFraction float64 // by what part of it a sidecar's part of a group's quota may be stretched by the group's demand
	RepayFraction   float64 // what part of a debtor's own pays its debt
	FadeSeconds     float64 // in this time all but 37 % of an old debt, and of an old claim, are forgotten
}

// Defaults of the settings. Danger: what a debtor pays is missing in its share; a group that wants its share, and has
// borrowed, is to have it to a hundredth all the same.
const (
	DefaultRepayFraction   = 0.01
	DefaultFadeSeconds     = 6 * 3600.0
	DefaultStretchFraction = 0.1
)
