package policy

// mostKinds bounds the kinds that are told apart.
const maxHostKinds = 64

// kinds are the times that hosts of each kind take beside what is usual, by the kind's number. Danger: a proxy with little
// traffic sees each host too rarely to know its speed, but it sees all hosts of a kind often enough.
type kindFactors []float64

// of returns a kind's time, 1 where nothing is known of it.
func (k kindFactors) factor(kind int) float64 {
	if kind < 0 || kind >= len(k) {
		return 1
	}
	return k[kind]
}

// learn takes the time of one answer beside what is usual.
func (k *kindFactors) learn(kind int, x float64) {
	for kind >= len(*k) && kind < maxHostKinds {
		*k = append(*k, 1)
	}
	if kind >= 0 && kind < len(*k) {
		(*k)[kind] += 0.02 * (min(x, 4) - (*k)[kind])
	}
}
