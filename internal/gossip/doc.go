// Package gossip holds the state machines by which routers find each other and share what they suspect of workers.
// They do no I/O, read no clock and start no goroutine: the caller passes events with the time to Step and carries out
// the actions that Step returns. None of them is safe for concurrent use. Times are since any fixed zero of the caller's
// and must not fall.
//
//   - [Core]: membership and dissemination of signed [Statement]s, within a traffic budget.
//   - [PacketLimiter] and [Keyring]: rate limit of signature checks, and authentication of packets and statements.
//   - [SuspicionPublisher]: which of this router's own suspicions of workers are published.
//   - [SuspicionQuorum]: how much weight the claims of other routers about workers have.
//
// Membership follows SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002) with Lifeguard's local health awareness (Dadgar, Phillips, Currey,
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017): a member that is slow itself
// takes more time before it suspects others, and a suspicion that few confirm lasts longer. It departs from
// SWIM where members may lie: see [Statement].
package gossip
