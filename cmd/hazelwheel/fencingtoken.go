package main

import (
	"fmt"
	"strconv"
	"strings"
)

// A fencing token holds the epoch above its lowest tokenNumberBits bits, and in these its number within the epoch.
const (
	tokenNumberBits = 40
	tokenEpochBits  = 64 - tokenNumberBits
)

// formatToken formats a fencing token as EPOCH.NUMBER.
func formatToken(token uint64) string {
	return fmt.Sprintf("%d.%d", token>>tokenNumberBits, token&(1<<tokenNumberBits-1))
}

// parseToken parses a fencing token in the form of formatToken, or as one decimal number.
func parseToken(text string) (uint64, error) {
	epochText, numberText, hasEpoch := strings.Cut(text, ".")
	if !hasEpoch {
		epochText, numberText = "0", text
	}
	epoch, epochErr := strconv.ParseUint(epochText, 10, tokenEpochBits)
	number, numberErr := strconv.ParseUint(numberText, 10, 64)
	if epochErr != nil || numberErr != nil || hasEpoch && number >= 1<<tokenNumberBits || epoch == 0 && number == 0 {
		return 0, fmt.Errorf("%.40q is not a token like 1.57", text)
	}
	return epoch<<tokenNumberBits | number, nil
}
