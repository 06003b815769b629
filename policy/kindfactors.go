package policy

const (
	// maxHostKinds bounds the kinds of hosts that are told apart.
	maxHostKinds = 64
	// kindFactorGain is the gain of the moving averages.
	kindFactorGain = 0.02
	// maxKindSample bounds a single sample.
	maxKindSample = 4
)

// kindFactors are the service times of each kind of host in units of the usual one, by HostInfo.Kind. Danger: a proxy with little
// traffic sees each host too rarely to learn its speed, but each kind often enough.
type kindFactors []float64

// factor returns the factor of a kind, 1 where nothing is known of it.
func (k kindFactors) factor(kind int) float64 {
	if kind < 0 || kind >= len(k) {
		return 1
	}
	return k[kind]
}

// learn takes the relative service time of one answer.
func (k *kindFactors) learn(kind int, sample float64) {
	for kind >= len(*k) && kind < maxHostKinds {
		*k = append(*k, 1)
	}
	if kind >= 0 && kind < len(*k) {
		(*k)[kind] += kindFactorGain * (min(sample, maxKindSample) - (*k)[kind])
	}
}
