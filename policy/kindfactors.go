package policy

const (
	// maxHostKinds is the number of host kinds that are distinguished.
	maxHostKinds = 64
	// kindFactorGain is the gain of the moving averages.
	kindFactorGain = 0.02
	// maxKindSample bounds a single sample.
	maxKindSample = 4
)

// kindFactors are the service times of each kind of host relative to the usual one, by HostInfo.Kind. A proxy with little traffic
// gets too few answers of a single host to learn its speed, but enough of each kind.
type kindFactors []float64

// factor returns the factor of a kind, 1 if it is not known.
func (k kindFactors) factor(kind int) float64 {
	if kind < 0 || kind >= len(k) {
		return 1
	}
	return k[kind]
}

// learn updates the factor of a kind by the relative service time of one answer.
func (k *kindFactors) learn(kind int, sample float64) {
	for kind >= len(*k) && kind < maxHostKinds {
		*k = append(*k, 1)
	}
	if kind >= 0 && kind < len(*k) {
		(*k)[kind] += kindFactorGain * (min(sample, maxKindSample) - (*k)[kind])
	}
}
