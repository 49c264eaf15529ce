// Package gossip implements the state machines with which routers discover each other and exchange suspicions of
// workers. They do no I/O, read no clock and start no goroutine: the caller passes events and the current time to Step
// and carries out the actions that Step returns. None of them is safe for concurrent use. Times are durations since a
// fixed point that the caller chooses, and must not decrease.
//
//   - [Core]: membership and dissemination of signed [Statement]s, within a traffic budget.
//   - [PacketLimiter] and [Keyring]: rate limit of signature verifications, and authentication of packets and
//     statements.
//   - [SuspicionPublisher]: decides which of this router's own suspicions of workers are published.
//   - [SuspicionQuorum]: weighs the claims of other routers about workers and decides when to check a worker.
//
// Membership follows SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002) with Lifeguard's local health awareness (Dadgar, Phillips, Currey,
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2017): a member that is slow itself
// waits longer before it suspects others, and a suspicion that few members confirm lasts longer. It departs from
// SWIM because members may lie: see [Statement].
package gossip
