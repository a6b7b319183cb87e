package faults

// rules fill the matrix; what no rule names is open.
var rules = []rule{
	// Tickets.
	{steps: one(ticketApplied), faults: one(killed, answerLost, platformDown, lostAndDead), tests: one("edge/configuration.TestApplyUnderFaults")},
	{steps: one(ticketApplied), faults: one(platformSlow), tests: one("edge/configuration.TestSlowPlatform")},
	{steps: one(ticketApplied), faults: one(race), tests: one("edge/configuration.TestRacingOperators", "program/e2e.TestRacingOperatorsGetOneWinner")},
	{steps: one(ticketApplied), faults: one(downForLong), tests: one("edge/configuration.TestOutageKeepsServing")},
	{steps: one(ticketApplied), faults: one(withdrawn), tests: one("edge/configuration.TestWithdrawnKeyStops", "program/e2e.TestWithdrawnKeyStopsEverywhere")},
	{steps: one(ticketApplied), faults: one(cutBothWays, wokenInDown), tests: one("edge/configuration.TestIsolatedHostRefuses", "edge/configuration.TestIsolatedHostInOutage")},
	{steps: one(ticketApplied), faults: one(killedInDown), tests: one("edge/configuration.TestRestartDuringOutage")},
	{steps: one(ticketApplied), faults: one(doubled), tests: one("edge/configuration.TestApplyOrder")},
	{steps: one(ticketApplied), faults: one(swapFails), because: "a ticket only names the version; whether engines can load it shows later"},

	// Requests of callers.
	{steps: one(requestSent, requestStarted, requestAnswered), faults: one(killed), tests: one("program/e2e.TestCallsTellTheTruthWhileThingsFail")},
	{steps: one(requestQueued, requestSent, requestStarted, requestAnswered), faults: one(frozen), tests: one("program/e2e.TestCallsTellTheTruthWhileThingsFail", "edge/peer.TestWokenProcessActsOnNoOldFrame")},
	{steps: one(requestSent, requestStarted, requestAnswered), faults: one(cutBothWays), tests: one("edge/agent.TestBookingsRunAtMostOnceWhileConnectionsBreak")},
	{steps: one(requestAnswered), faults: one(cutOneWay, answerLost), tests: one("program/e2e.TestCallsTellTheTruthWhileThingsFail", "edge/entry.TestCallInDoubtIsNeverRunAgain")},
	{steps: one(requestSent), faults: one(answerLate, answerLost), tests: one("edge/agent.TestLateFrameAfterSettle", "core/execution.TestLateFrameAfterSettleNeverRuns")},
	{steps: one(requestSent), faults: one(doubled), tests: one("edge/agent.TestDoubledExecuteRunsOnce", "edge/peer.TestDoubledRequestRunsOnce")},
	{steps: one(requestAnswered), faults: one(crossed), tests: one("edge/peer.TestTamperedAnswerIsNeverWhole", "edge/exchange.TestSurplusAnswerIsNotGivenToTheNextCall", "edge/entry.TestCallersGetTheirOwnAnswers")},
	{steps: one(requestAnswered), faults: one(short), tests: one("edge/entry.TestHalfAnswerIsNotPassedOn", "edge/peer.TestConnectionFailsMidAnswer")},
	{steps: one(requestAnswered), faults: one(answerLate, doubled), tests: one("edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: requests, faults: one(platformDown, downForLong), tests: one("program/e2e.TestCallsTellTheTruthWhileThingsFail")},
	{steps: one(requestAdmitted), faults: one(wokenInDown), tests: one("edge/configuration.TestIsolatedHostInOutage")},
	{steps: one(requestAdmitted), faults: one(cutBothWays), tests: one("edge/entry.TestIsolatedHostRefuses", "edge/configuration.TestIsolatedHostRefuses")},
	{steps: one(requestAdmitted), faults: one(withdrawn), tests: one("program/e2e.TestWithdrawnKeyStopsEverywhere")},
	{steps: one(requestQueued, requestSent, requestStarted), faults: one(withdrawn), tests: one("edge/agent.TestKeyWithdrawn")},
	{steps: one(requestPlaced), faults: one(killed), tests: one("edge/entry.TestNotRunIsTriedElsewhere", "program/e2e.TestCallsTellTheTruthWhileThingsFail")},
	{steps: one(requestAdmitted, requestQueued, requestPlaced), faults: one(crossed, short), because: "the step has no answer of another host"},
	{steps: requests, faults: one(race), because: "a race of operators has one winner before any request sees it"},
	{steps: requests, faults: one(swapFails), because: "a failed swap leaves the version that serves; requests go on with it"},
	{steps: one(requestAnswered), faults: one(withdrawn), because: "the answer of a call that ran is the caller's; the key is asked for again with the next call"},

	// Streams.
	{steps: one(streamRunning), faults: one(withdrawn), tests: one("program/e2e.TestWithdrawnKeyStopsEverywhere", "edge/agent.TestKeyWithdrawn", "edge/agent.TestKeyWithdrawnFromSlowReader")},
	{steps: one(streamRunning), faults: one(short, answerLost), tests: one("edge/backendserver.TestCutGenerationIsLostAndResumesToTheSameText")},
	{steps: one(streamRunning), faults: one(crossed, doubled), tests: one("edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: one(streamRunning), faults: one(cutBothWays), tests: one("edge/peer.TestConnectionFailsMidAnswer")},
	{steps: one(streamRunning), faults: one(race), because: "a race of operators has one winner before any request sees it"},

	// Samples.
	{steps: one(sampleGenerated), faults: one(killed, short), tests: one("edge/trainer.TestEngineCrashMidSample", "core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: one(sampleCopied), faults: one(killed), tests: one("edge/trainer.TestBothCopiesLost", "core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: one(sampleScored), faults: one(killed), tests: one("edge/trainer.TestScoringFails", "core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: one(sampleScored), faults: one(answerLost), tests: one("edge/trainer.TestScoringFails")},
	{steps: one(sampleBatched), faults: one(killed, answerLost, lostAndDead), tests: one("edge/trainer.TestCoordinatorKilledAfterWrite", "core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: one(sampleBatched, sampleDelivered), faults: one(frozen), tests: one("edge/trainer.TestTwoBelievers", "edge/trainer.TestLeaseEndsBeforeWrite")},
	{steps: one(sampleDelivered), faults: one(killed, answerLost, doubled, crossed), tests: one("core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: one(sampleBatched, sampleDelivered), faults: one(platformDown, downForLong), tests: one("edge/trainer.TestOutageWithCursor", "edge/trainer.TestOutageWithoutCursor")},
	{steps: one(sampleDelivered), faults: one(killedInDown, wokenInDown), tests: one("core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: samples, faults: one(withdrawn), tests: one("edge/trainer.TestKeyWithdrawnWhileWaiting")},
	{steps: samples, faults: one(race), because: "a race of operators has one winner before any sample sees it"},
	{steps: one(sampleCopied, sampleScored, sampleBatched, sampleDelivered), faults: one(swapFails), because: "the tokens are made; spans name the versions that made them"},

	// Leases.
	{steps: one(leaseTaken, leaseRenewed), faults: one(answerLost), tests: one("edge/duty.TestLostAnswers", "core/lease.TestLostRenewalAnswer", "core/lease.TestOlderOfTwoLostRenewals")},
	{steps: one(leaseUsed, leaseLost, leaseRenewed), faults: one(frozen), tests: one("core/lease.TestPausedHolderWakes", "edge/duty.TestPausedHolderKnowsWithoutCalls", "program/e2e.TestWokenHolderDoesNoHarm")},
	{steps: one(leaseTaken), faults: one(frozen), tests: one("core/lease.TestTwoHoldersNever")},
	{steps: leases, faults: one(killed), tests: one("edge/duty.TestTakeoverAfterDeath")},
	{steps: leases, faults: one(platformDown, downForLong), tests: one("edge/duty.TestOutage")},
	{steps: one(leaseLost), faults: one(killedInDown), tests: one("edge/duty.TestReleaseInOutage")},
	{steps: one(leaseTaken, leaseRenewed), faults: one(lostAndDead), tests: one("core/lease.TestTwoHoldersNever")},
	{steps: leases, faults: one(race, withdrawn, swapFails), because: "leases depend on neither tickets, keys nor weights"},

	// Server orders.
	{steps: one(orderSent), faults: one(frozen), tests: one("program/e2e.TestWokenHolderDoesNoHarm")},
	{steps: orders, faults: one(race, withdrawn, swapFails), because: "orders follow load and one accepted configuration; no key or weight is part of them"},

	// Usage.
	{steps: one(usageFlushed), faults: one(answerLost), tests: one("edge/billing.TestFlushAfterALostAnswerCountsOnce")},
	{steps: one(usageCounted, usageFlushed), faults: one(platformDown, downForLong), tests: one("edge/billing.TestOutageOnlyDelaysCounts")},
	{steps: one(usageFlushed), faults: one(doubled), tests: one("edge/billing.TestFlushOfTwoWritersKeepsBoth", "edge/billing.TestFlushWritesNothingTwice")},
	{steps: closing, faults: one(killed, answerLost, lostAndDead), tests: one("edge/billing.TestSecondClosingAtEveryCallOfTheFirst", "edge/billing.TestReportAfterALostAnswerHasTheSameBytes")},
	{steps: closing, faults: one(frozen), tests: one("edge/billing.TestTwoClosersThatOvertakeEachOther", "edge/billing.TestHolderThatLostItsDutyStopsBeforeItsNextWrite")},
	{steps: closing, faults: one(platformDown, downForLong), tests: one("edge/billing.TestWindowsOfAnOutageAreClosedInTheirOrder")},
	{steps: closing, faults: one(doubled, answerLate), tests: one("edge/billing.TestEveryUnitIsReportedOnceInAllInterleavings")},
	{steps: one(usageCounted), faults: one(doubled, crossed, answerLate), tests: one("core/usage.TestMergeIsTheSameForAllOrdersAndRepeats")},
	{steps: join(one(usageCounted, usageFlushed), closing), faults: one(race), because: "usage is counted by organisation, whatever the configuration"},
	{steps: join(one(usageCounted, usageFlushed), closing), faults: one(withdrawn, swapFails), because: "usage is counted by organisation, whatever its keys and the weights are"},

	// Weights.
	{steps: weights, faults: one(swapFails, killed), tests: one("edge/agent.TestWeightOrders", "edge/agent.TestEngineRestartsWithOldWeights")},
	{steps: one(weightsSwitched), faults: one(answerLost), tests: one("edge/agent.TestWeightOrders")},
	{steps: weights, faults: one(race, withdrawn), because: "a version becomes known by one change of head; no key is part of it"},

	// Hosts.
	{steps: one(hostJoining), faults: one(platformDown, downForLong), tests: one("edge/membership.TestStartInOutage", "edge/configuration.TestRestartDuringOutage")},
	{steps: one(hostLeaving), faults: one(platformDown), tests: one("edge/membership.TestOutageKeepsList")},
	{steps: hosts, faults: one(race, withdrawn, swapFails), because: "hosts come and go by the platform's list, whatever keys and weights are"},
}
