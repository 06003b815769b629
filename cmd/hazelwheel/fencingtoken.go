package main

import (
	"fmt"
	"strconv"
	"strings"
)

// readToken reads a token as it is written for people, or as one number.
func readToken(text string) (uint64, error) {
	epoch, number, dotted := strings.Cut(text, ".")
	if !dotted {
		epoch, number = "0", text
	}
	e, err := strconv.ParseUint(epoch, 10, 24)
	n, also := strconv.ParseUint(number, 10, 64)
	if err != nil || also != nil || dotted && n >= 1<<40 || e == 0 && n == 0 {
		return 0, fmt.Errorf("%.40q is not a token like 1.57", text)
	}
	return e<<40 | n, nil
}

// tokenText writes a token as its epoch and its number in it.
func tokenText(token uint64) string { return fmt.Sprintf("%d.%d", token>>40, token&(1<<40-1)) }
