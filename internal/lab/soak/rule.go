package soak

// Rule names a check. Its text is printed and written to reports.
type Rule string

// The checks, each with the violation that it finds.
const (
	AtMostOnce             Rule = "at-most-once"   // a non-idempotent request was executed twice
	AnswerIsOwn            Rule = "own-answer"     // a client received what no server answered to its request
	BodyIntact             Rule = "intact"         // a server received another body than the client sent
	HeaderIntact           Rule = "header-intact"  // a server received other fields of the model or the prompt than the client sent
	RefusedNotExecuted     Rule = "promise"        // a request was refused as not executed and was executed
	AlwaysAnswered         Rule = "answered"       // a request had neither an answer nor a closed connection, or the connection was closed without cause
	ConfigurationInForce   Rule = "in-force"       // a proxy did not apply a confirmed configuration in time
	ConfigurationMonotonic Rule = "never-older"    // a proxy used an older configuration than before
	ConfigurationConfirmed Rule = "confirmed"      // a valid change was refused, or the confirmed configuration is not read back at the end
	InvalidRefused         Rule = "invalid"        // an invalid change was accepted
	AddedRoutesServed      Rule = "added-routes"   // added routes are served less than a quarter as often as the first ones
	KindsServed            Rule = "starved"        // a kind of requests is served less than a quarter as often as all requests
	ServiceRecovered       Rule = "recovered"      // less than a quarter of requests is served after the time to recover
	VotesAfterRestart      Rule = "voters"         // a control machine does not vote in time after a restart
	GracefulShutdown       Rule = "ends-in-grace"  // a process did not exit within its grace period after SIGTERM, or failed
	NoUnexpectedExit       Rule = "ends-by-itself" // a process exited without a signal to do so
	KeyWithheld            Rule = "key-withheld"   // a server received the key of a client
	TenantOfKey            Rule = "tenant-of-key"  // a server received a request in the name of a tenant to which its key never belonged
	UnknownKeyRejected     Rule = "unknown-key"    // a request without a key that was ever configured was executed
	WithdrawnKeyRejected   Rule = "withdrawn-key"  // a request was executed with a key that had been taken away in time
	ValidKeyServed         Rule = "valid-key"      // a request with a valid key, or on a public route, was rejected for its key
	KeyNotShown            Rule = "key-not-shown"  // the output of a process, or an answer, shows a key
	TenantLimitHolds       Rule = "tenant-limit"   // more of a tenant's requests were executed in a window than its limit allows
	BelowLimitServed       Rule = "below-limit"    // 429 for a tenant whose requests stay below its limit
	TenantsServed          Rule = "tenant-starved" // a tenant is served less than a quarter as often as all
	ResourcesBounded       Rule = "growth"         // memory or descriptors of a process grow beyond the bounds
)
