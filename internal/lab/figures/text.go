package figures

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Spread writes values as their median, with the least and the most behind it where these differ; "-" for none.
func Spread(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	median, least, most := Short(Median(values)), Short(slices.Min(values)), Short(slices.Max(values))
	if least == most {
		return median
	}
	return fmt.Sprintf("%s (%s to %s)", median, least, most)
}

// Short writes a figure with three digits that count, or all before the point.
func Short(x float64) string {
	if x == math.Trunc(x) || math.Abs(x) >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'f', max(0, 2-int(math.Floor(math.Log10(math.Max(math.Abs(x), 0.1))))), 64)
}
