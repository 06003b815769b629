package replay

import (
	"fmt"
	"io"
	"strconv"
)

// WriteTable writes a table of the totals of each group, and below it a summary of how well shares were kept.
func (r *Result) WriteTable(out io.Writer) error {
	l := r.Tree.Limits[r.Limit]
	const row = "%-54s %10s %10s %10s %7s %10.0f %10.0f %10.0f %10.0f\n"
	fmt.Fprintf(out, "%-54s %10s %10s %10s %7s %10s %10s %10s %10s\n", "GROUP", "ASKED", "SERVED", "REFUSED", "SHARE%", "BORROWED", "REPAID", "LENT", "RETURNED")
	for g := int32(1); int(g) < r.Tree.Len(); g++ {
		t, counts := &r.Total[g], [3]string{}
		if r.Tree.AcceptsRequests(g) {
			counts = [3]string{strconv.Itoa(t.Asked), strconv.Itoa(t.Served), strconv.Itoa(t.Rejected)}
		}
		fmt.Fprintf(out, row, r.Tree.Path(g), counts[0], counts[1], counts[2], shareText(t), t.Borrowed, t.Repaid, t.Lent, t.Returned)
	}
	if worst, hours := r.WorstShare(true); hours > 0 {
		plain, _ := r.WorstShare(false)
		fmt.Fprintf(out, "%s: in %d hours in which a group wanted its share all the time, it had %.2f %% of it at least, less what it paid back; of the share itself %.2f %%\n",
			l.Name(), hours, 100*worst, 100*plain)
	}
	_, err := fmt.Fprintf(out, "in minutes in which somebody was refused for want of it, %.3f %% of the quota was lost and %.3f %% not served\n"+
		"loans and what became of them differ by %.3f at most, the books by %.6f\n",
		100*r.Unused/max(r.Offered, 1e-9), 100*r.Unserved/max(r.Offered, 1e-9), r.Imbalance(), r.Discrepancy)
	return err
}

// shareText returns the percentage of its share that a group used, "-" if it has no share.
func shareText(h *Hour) string {
	if h.Share <= 0 {
		return "-"
	}
	return strconv.FormatFloat(100*h.Used/h.Share, 'f', 1, 64)
}
