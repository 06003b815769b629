// Package capture records the inputs and the decisions of package policy, and replays a record.
//
// A record is text, one JSON object a line. A Recorder keeps it in a ring of segments in memory and, with a folder in its
// Settings, in files. Each segment starts with what a replay needs, the settings with the seed or a checkpoint, so that
// any segment can be replayed without those before it. After a line for each input come the lines of the decisions that
// followed from it. Replay gives the inputs to a policy.Balancer and compares its actions with the recorded ones.
//
// The form of the lines is read by later and earlier versions and by people; it does not change.
package capture
