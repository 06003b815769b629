package placement

import (
	"strconv"
	"strings"
)

// ParseChunks reads ID:TOKENS parts, separated by commas.
func ParseChunks(field string) (parts []Chunk) {
	for piece := range strings.SplitSeq(field, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(piece), ":")
		count := parseCount(tokens)
		if ok && id != "" && count > 0 {
			parts = append(parts, Chunk{ID: id, Tokens: count})
		}
	}
	return parts
}

// Chunk is a piece of a prompt that other prompts may begin with too.
type Chunk struct {
	ID     string
	Tokens int
}

func parseCount(text string) int {
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 {
		return 0
	}
	return count
}

// Prompt is what the choice of servers goes by.
type Prompt struct {
	Chunks               []Chunk
	Tokens               int     // of the whole prompt
	MaxOutputTokens      int     // most tokens to go out
	LatencyTargetSeconds float64 // the objective for the first event, in seconds; 0: none
	GapTargetSeconds     float64 // the longest pause between events that is in time, in seconds; 0: none
}

// SharedPrefixKey returns the key of the parts that others may share, "" if there are none.
func (q *Prompt) SharedPrefixKey() string {
	if len(q.Chunks) < 2 {
		return ""
	}
	return q.Chunks[len(q.Chunks)-2].ID
}

// ownTokens returns the tokens that no other prompt shares.
func (q *Prompt) ownTokens() float64 {
	if len(q.Chunks) == 0 {
		return float64(max(q.Tokens, 1))
	}
	return float64(q.Chunks[len(q.Chunks)-1].Tokens)
}
