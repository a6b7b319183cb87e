package faults

import "slices"

// rules fill the matrix; what no rule names is open.
var rules = slices.Concat(requestRules, controlRules)

// requestRules are those of requests, streams, weights and hosts.
var requestRules = []rule{
	// Requests of callers.
	{steps: atEachStep, faults: one(doubled, killed, frozen, cutOneWay, cutBothWays, answerLost, answerLate, platformSlow, killedInDown, wokenInDown, lostAndDead), tests: one("program/faults.TestRequestAtEachStep")},
	{steps: one(requestAdmitted), faults: one(doubled, killed, frozen, cutOneWay, cutBothWays, answerLost, answerLate, platformSlow, killedInDown, lostAndDead), tests: one("program/faults.TestRequestAdmitted")},
	{steps: one(requestStarted), faults: one(killed, frozen, answerLost), tests: one("program/e2e.TestVerdictsMatchRunsDuringFaults")},
	{steps: one(requestSent), faults: one(frozen), tests: one("edge/peer.TestWokenProcessActsOnNoOldFrame")},
	{steps: one(requestSent), faults: one(answerLate), tests: one("edge/agent.TestLateFrameAfterSettle", "core/execution.TestLateFrameAfterSettleNeverRuns")},
	{steps: one(requestSent), faults: one(doubled), tests: one("edge/agent.TestDoubledExecuteRunsOnce", "edge/peer.TestDoubledRequestRunsOnce")},
	{steps: one(requestAnswered), faults: one(cutBothWays), tests: one("edge/agent.TestBookingsRunAtMostOnceWhileConnectionsBreak")},
	{steps: one(requestAnswered), faults: one(crossed), tests: one("edge/peer.TestTamperedAnswerIsNeverWhole", "edge/exchange.TestSurplusAnswerIsNotGivenToTheNextCall", "edge/entry.TestCallersGetTheirOwnAnswers")},
	{steps: one(requestAnswered), faults: one(short), tests: one("edge/entry.TestHalfAnswerIsNotPassedOn", "edge/peer.TestConnectionFailsMidAnswer")},
	{steps: one(requestAnswered), faults: one(answerLate, doubled), tests: one("edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: requests, faults: one(platformDown, downForLong), tests: one("program/e2e.TestVerdictsMatchRunsDuringFaults")},
	{steps: one(requestAdmitted), faults: one(wokenInDown), tests: one("edge/configuration.TestIsolatedHostInOutage")},
	{steps: one(requestAdmitted), faults: one(cutBothWays), tests: one("edge/entry.TestIsolatedHostRefuses", "edge/configuration.TestIsolatedHostRefuses")},
	{steps: one(requestAdmitted), faults: one(withdrawn), tests: one("program/e2e.TestWithdrawnKeyStopsEverywhere")},
	{steps: one(requestQueued, requestStarted), faults: one(withdrawn), tests: one("edge/agent.TestKeyWithdrawn")},
	{steps: one(requestPlaced, requestSent), faults: one(withdrawn), tests: one("program/faults.TestKeyWithdrawnOnTheWay")},
	{steps: one(requestAdmitted, requestQueued, requestPlaced, requestSent, requestStarted), faults: one(crossed, short), because: "there is no answer yet that could be crossed or cut short; what becomes of it later is the row of the answer"},
	{steps: requests, faults: one(race), because: "a race of operators has one winner before any request sees it"},
	{steps: requests, faults: one(swapFails), because: "a failed swap leaves the version that serves; requests go on with it"},
	{steps: one(requestAnswered), faults: one(withdrawn), because: "the answer of a call that ran is the caller's; the key is asked for again with the next call"},

	// Streams.
	{steps: one(streamRunning), faults: one(swapFails, platformDown, downForLong, short, killed, frozen, cutOneWay, cutBothWays, answerLost, answerLate, platformSlow, killedInDown, wokenInDown, lostAndDead), tests: one("program/faults.TestStreamRunning")},
	{steps: one(streamRunning), faults: one(withdrawn), tests: one("program/e2e.TestWithdrawnKeyStopsEverywhere", "edge/agent.TestKeyWithdrawn", "edge/agent.TestKeyWithdrawnFromSlowReader")},
	{steps: one(streamRunning), faults: one(short), tests: one("edge/backendserver.TestCutGenerationIsLostAndResumesToTheSameText")},
	{steps: one(streamRunning), faults: one(crossed, doubled), tests: one("edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: one(streamRunning), faults: one(cutBothWays), tests: one("edge/peer.TestConnectionFailsMidAnswer")},
	{steps: one(streamRunning), faults: one(race), because: "a race of operators has one winner before any request sees it"},

	// Weights.
	{steps: weights, faults: one(killed, frozen, cutOneWay, cutBothWays, answerLost, answerLate, crossed, doubled, short, platformDown, platformSlow, downForLong, killedInDown, wokenInDown, lostAndDead), tests: one("program/faults.TestWeightsChange")},
	{steps: weights, faults: one(swapFails), tests: one("edge/agent.TestWeightOrders")},
	{steps: one(weightsSwitched), faults: one(killed), tests: one("edge/agent.TestEngineRestartsWithOldWeights")},
	{steps: weights, faults: one(race, withdrawn), because: "a version becomes known by one change of head; no key is part of it"},

	// Hosts.
	{steps: one(hostJoining), faults: hostFaultNames, tests: one("program/faults.TestHostJoins")},
	{steps: one(hostLeaving), faults: hostFaultNames, tests: one("program/faults.TestHostLeaves")},
	{steps: one(hostJoining), faults: one(platformDown, downForLong), tests: one("edge/membership.TestStartInOutage", "edge/configuration.TestRestartDuringOutage")},
	{steps: one(hostLeaving), faults: one(platformDown), tests: one("edge/membership.TestOutageKeepsList")},
	{steps: hosts, faults: one(race, withdrawn, swapFails), because: "hosts come and go by the platform's list, whatever keys and weights are"},
}
