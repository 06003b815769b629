package placement

import "math"

func sqrt(x float64) float64 { return math.Sqrt(x) }
