package faults

import "slices"

// rules fill the matrix; a cell without a rule is open.
var rules = slices.Concat(requestRules, controlRules)

// requestRules cover requests, streams, weights and hosts.
var requestRules = []rule{
	// Requests of callers.
	{steps: agentSteps, faults: list(duplicated, killed, frozenAndResumed, cutOneWay, cutBothWays, answerLost, answerLate, platformSlow, killedInOutage, resumedInOutage, answerLostThenKilled), tests: list("program/faults.TestRequestAtEachStep")},
	{steps: list(requestAdmitted), faults: list(duplicated, killed, frozenAndResumed, cutOneWay, cutBothWays, answerLost, answerLate, platformSlow, killedInOutage, answerLostThenKilled), tests: list("program/faults.TestRequestAdmitted")},
	{steps: list(requestStarted), faults: list(killed, frozenAndResumed, answerLost), tests: list("program/e2e.TestVerdictsMatchRunsDuringFaults")},
	{steps: list(requestSent), faults: list(frozenAndResumed), tests: list("edge/peer.TestWokenProcessActsOnNoOldFrame")},
	{steps: list(requestSent), faults: list(answerLate), tests: list("edge/agent.TestLateFrameAfterSettle", "core/execution.TestLateFrameAfterSettleNeverRuns")},
	{steps: list(requestSent), faults: list(duplicated), tests: list("edge/agent.TestDoubledExecuteRunsOnce", "edge/peer.TestDoubledRequestRunsOnce")},
	{steps: list(requestAnswered), faults: list(cutBothWays), tests: list("edge/agent.TestBookingsRunAtMostOnceWhileConnectionsBreak")},
	{steps: list(requestAnswered), faults: list(answersCrossed), tests: list("edge/peer.TestTamperedAnswerIsNeverWhole", "edge/exchange.TestSurplusAnswerIsNotGivenToTheNextCall", "edge/entry.TestCallersGetTheirOwnAnswers")},
	{steps: list(requestAnswered), faults: list(answerCutShort), tests: list("edge/entry.TestHalfAnswerIsNotPassedOn", "edge/peer.TestConnectionFailsMidAnswer")},
	{steps: list(requestAnswered), faults: list(answerLate, duplicated), tests: list("edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: requests, faults: list(platformDown, longOutage), tests: list("program/e2e.TestVerdictsMatchRunsDuringFaults")},
	{steps: list(requestAdmitted), faults: list(resumedInOutage), tests: list("edge/configuration.TestIsolatedHostInOutage")},
	{steps: list(requestAdmitted), faults: list(cutBothWays), tests: list("edge/entry.TestIsolatedHostRefuses", "edge/configuration.TestIsolatedHostRefuses")},
	{steps: list(requestAdmitted), faults: list(keyWithdrawn), tests: list("program/e2e.TestWithdrawnKeyStopsEverywhere")},
	{steps: list(requestQueued, requestStarted), faults: list(keyWithdrawn), tests: list("edge/agent.TestKeyWithdrawn")},
	{steps: list(requestPlaced, requestSent), faults: list(keyWithdrawn), tests: list("program/faults.TestKeyWithdrawnInTransit")},
	{steps: list(requestAdmitted, requestQueued, requestPlaced, requestSent, requestStarted), faults: list(answersCrossed, answerCutShort), reason: "there is no answer yet that could be crossed or cut short; the row \"request answered\" covers the later answer"},
	{steps: requests, faults: list(concurrentOperators), reason: "one of several concurrent tickets is accepted before any request uses it"},
	{steps: requests, faults: list(weightSwitchFails), reason: "a failed weight switch leaves the current version in use, and requests continue with it"},
	{steps: list(requestAnswered), faults: list(keyWithdrawn), reason: "the caller still gets the answer of a call that ran; the key is checked again at the next call"},

	// Streams.
	{steps: list(streamRunning), faults: list(weightSwitchFails, platformDown, longOutage, answerCutShort, killed, frozenAndResumed, cutOneWay, cutBothWays, answerLost, answerLate, platformSlow, killedInOutage, resumedInOutage, answerLostThenKilled), tests: list("program/faults.TestStreamRunning")},
	{steps: list(streamRunning), faults: list(keyWithdrawn), tests: list("program/e2e.TestWithdrawnKeyStopsEverywhere", "edge/agent.TestKeyWithdrawn", "edge/agent.TestKeyWithdrawnFromSlowReader")},
	{steps: list(streamRunning), faults: list(answerCutShort), tests: list("edge/backendserver.TestCutGenerationIsLostAndResumesToTheSameText")},
	{steps: list(streamRunning), faults: list(answersCrossed, duplicated), tests: list("edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: list(streamRunning), faults: list(cutBothWays), tests: list("edge/peer.TestConnectionFailsMidAnswer")},
	{steps: list(streamRunning), faults: list(concurrentOperators), reason: "one of several concurrent tickets is accepted before any request uses it"},

	// Weights.
	{steps: weights, faults: list(killed, frozenAndResumed, cutOneWay, cutBothWays, answerLost, answerLate, answersCrossed, duplicated, answerCutShort, platformDown, platformSlow, longOutage, killedInOutage, resumedInOutage, answerLostThenKilled), tests: list("program/faults.TestWeightsChange")},
	{steps: weights, faults: list(weightSwitchFails), tests: list("edge/agent.TestWeightOrders")},
	{steps: list(weightsSwitched), faults: list(killed), tests: list("edge/agent.TestEngineRestartsWithOldWeights")},
	{steps: weights, faults: list(concurrentOperators, keyWithdrawn), reason: "a version is published by one change of the configuration head, without any key"},

	// Hosts.
	{steps: list(hostJoining), faults: hostFaultNames, tests: list("program/faults.TestHostJoins")},
	{steps: list(hostLeaving), faults: hostFaultNames, tests: list("program/faults.TestHostLeaves")},
	{steps: list(hostJoining), faults: list(platformDown, longOutage), tests: list("edge/membership.TestStartInOutage", "edge/configuration.TestRestartDuringOutage")},
	{steps: list(hostLeaving), faults: list(platformDown), tests: list("edge/membership.TestOutageKeepsList")},
	{steps: hosts, faults: list(concurrentOperators, keyWithdrawn, weightSwitchFails), reason: "hosts join and leave through the platform's host list, independently of tickets, keys and weights"},
}
