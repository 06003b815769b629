package message

// TokensPath is the HTTP path of tokenlease.Request messages: from a proxy to the agent of its machine, and from an agent to the lessor of a
// share.
const TokensPath = "/fleet/v1/tokens"
