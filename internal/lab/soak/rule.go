package soak

// Rule names a check.
type Rule string

// The checks.
const (
	AtMostOnce             Rule = "at-most-once"   // a request that may run once has run twice
	AnswerIsOwn            Rule = "own-answer"     // a client got what no server answered to it
	BodyIntact             Rule = "intact"         // a server got another body than the client sent
	RefusedNotExecuted     Rule = "promise"        // a request was refused as not run and has run
	AlwaysAnswered         Rule = "answered"       // a request neither had an answer nor its connection closed, or it was closed for no reason
	ConfigurationInForce   Rule = "in-force"       // a confirmed configuration was not in force in time
	ConfigurationMonotonic Rule = "never-older"    // a process went by an older configuration than before
	ConfigurationConfirmed Rule = "confirmed"      // a proper change was refused, or what was confirmed is not told in the end
	AddedRoutesServed      Rule = "added-routes"   // routes that were added are served under a quarter as often as the first ones
	KindsServed            Rule = "starved"        // a kind of request is served under a quarter as often as all
	ServiceRecovered       Rule = "recovered"      // under a quarter is served once RecoveryS is over
	VotesAfterRestart      Rule = "voters"         // a control machine does not vote CatchUpS after it has come back
	GracefulShutdown       Rule = "ends-in-grace"  // a process did not end in GraceS, or with a failure
	NoUnexpectedExit       Rule = "ends-by-itself" // a process ended though nobody ended it
	ResourcesBounded       Rule = "growth"         // memory or descriptors of a process grow
)
