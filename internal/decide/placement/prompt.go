package placement

import (
	"strconv"
	"strings"
)

// ParseChunks parses the chunks of a prompt as clients send them: a comma-separated list of ID:TOKENS. Items of any other form
// are skipped.
func ParseChunks(field string) (chunks []Chunk) {
	for text := range strings.SplitSeq(field, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(text), ":")
		count := parseCount(tokens)
		if ok && id != "" && count > 0 {
			chunks = append(chunks, Chunk{ID: id, Tokens: count})
		}
	}
	return chunks
}

// Chunk is a part of a prompt. Prompts that begin with the same chunks share the KV cache for them.
type Chunk struct {
	ID     string
	Tokens int
}

// parseCount returns a number of tokens, or 0 if the text is not a valid one.
func parseCount(text string) int {
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 {
		return 0
	}
	return count
}

// Prompt describes a prompt to the planner.
type Prompt struct {
	Chunks               []Chunk // in order; the last one is not shared with other prompts
	Tokens               int     // total of all chunks
	MaxOutputTokens      int     // bound on the tokens of the answer
	LatencyTargetSeconds float64 // target for the first event of the answer; 0 if none
	GapTargetSeconds     float64 // target for the gaps between events of the answer; 0 if none
}

// SharedPrefixKey returns a key for the prefix that other prompts may share, or "" if there is none.
func (q *Prompt) SharedPrefixKey() string {
	if len(q.Chunks) < 2 {
		return ""
	}
	return q.Chunks[len(q.Chunks)-2].ID
}

// ownTokens returns the number of tokens that no other prompt shares.
func (q *Prompt) ownTokens() float64 {
	if len(q.Chunks) == 0 {
		return float64(max(q.Tokens, 1))
	}
	return float64(q.Chunks[len(q.Chunks)-1].Tokens)
}
