// Package proof checks the invariants of the design page against node processes on loopback while failures are injected.
package proof

// Case checks one invariant under injected failures, on its own fleet.
type Case struct {
	Guards string // the violation that the case detects
	prove  func(*Trial)
}

// Cases returns all cases by name.
func Cases() map[string]Case {
	return map[string]Case{
		"fifty at once": {
			Guards: "a request that is lost, gets the answer to another one, runs twice, or runs although it was refused as not run, while targets and nodes are killed, restarted and paused",
			prove:  fiftyAtOnce,
		},
		"key revoked": {
			Guards: "a revoked key that works for longer than 8 s for a caller that stays connected",
			prove:  keyRevoked,
		},
		"key revoked, service down": {
			Guards: "a change that stays with the one home that read it before the configuration service went down",
			prove:  keyRevokedServiceDown,
		},
		"key revoked, node cut off": {
			Guards: "a node that cannot hear of a revoked key and still serves by it after 8 s",
			prove:  keyRevokedCutOff,
		},
		"older version served": {
			Guards: "a node that goes back to a version that the configuration service serves again, also by a restart",
			prove:  olderVersionServed,
		},
		"paused node": {
			Guards: "a node that resumes after a pause and serves by a version that was replaced meanwhile",
			prove:  pausedNode,
		},
		"links cut": {
			Guards: "a minority that serves without evidence, and an account that gets more than its rate and burst during a partition, after it, and after a restart of all nodes",
			prove:  domainPartitioned,
		},
		"domain out": {
			Guards: "a failure domain that gets new work 8 s after it was taken out, or none after its return",
			prove:  func(t *Trial) { domainEvacuated(t) },
		},
		"domain out, nodes paused": {
			Guards: "a node that was paused while a failure domain was taken out and sends work to it, or accepts work in it, after it resumes",
			prove:  func(t *Trial) { domainEvacuated(t, "a2", "b2") },
		},
		"domain returns": {
			Guards: "cold targets that get more than their capacity when their failure domain is brought back",
			prove:  domainReturns,
		},
		"shutdown": {
			Guards: "a graceful shutdown, of an entry or beside a target, that cuts a request off",
			prove:  shutdown,
		},
		"service outage": {
			Guards: "a plain outage of the configuration service that stops a node",
			prove:  serviceOutage,
		},
	}
}
