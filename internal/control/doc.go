// Package control runs the control process. It holds a replica of the configuration register, serves the operator's configuration API,
// reconfigures the set of voters, reads the platform's endpoint list, and, while it holds the lease for that, orders model servers to
// change their stage.
//
// # Register
//
// The operator's configuration, the set of voters and the lease grants form one value, a replicated register whose rounds are Paxos's
// (package register, which does no I/O). Two parts of this package do the I/O:
//
//   - replica is the acceptor with its disk. A promise or an accepted value is on disk before the reply is sent, and after a write has
//     failed the state in memory is the one that was written last. So an acceptor never forgets what it has answered.
//   - proposer runs rounds and reads against the voters. Each process draws a proposer ID of its own, so that no two processes, and no two
//     runs of one, ever use the same ballot.
//
// A value holds only the digest of its configuration. The bytes are sent separately if they are large, and a process that lacks them
// fetches them from the voters in chunks (configFetcher).
//
// # Tasks
//
// Each of these is one goroutine until the process ends: gossip (gossip.Node.Run), runReconfiguration, runAntiEntropy, runCatchUp,
// runDiskScrub, runListReader and stageController.run. They share the replica, the proposer and the node, which are safe for concurrent
// use; handlers of requests use the same.
//
// A chosen value is processed in two steps. The proposer that finds it calls handleChosen, which passes its voters to gossip and the value
// to chosenTracker; runCatchUp then publishes its configuration and stores it.
package control
