package faults

// oneCallAConnection says why answers of the platform don't cross; edge/exchange tests the surplus answer.
const oneCallAConnection = "a connection to the platform carries one call at a time, and one with a surplus answer is closed, as edge/exchange.TestSurplusAnswerIsNotGivenToTheNextCall shows"

// disturbed are the faults that a sweep over the calls of a step brings about, alone and in pairs.
var disturbed = []string{killed, frozen, cutOneWay, cutBothWays, answerLost, answerLate, doubled, killedInDown, wokenInDown, lostAndDead}

// controlRules are those of tickets, samples, leases, server orders and usage.
var controlRules = []rule{
	// Tickets.
	{steps: one(ticketApplied), faults: disturbed, tests: one("edge/configuration.TestApplyAtEachCall")},
	{steps: one(ticketApplied), faults: one(answerLost, platformDown), tests: one("edge/configuration.TestApplyUnderFaults")},
	{steps: one(ticketApplied), faults: one(short), tests: one("edge/platform.TestShortAnswerIsNoAnswer", "edge/configuration.TestApplyAtEachCall")},
	{steps: one(ticketApplied), faults: one(crossed), because: oneCallAConnection},
	{steps: one(ticketApplied), faults: one(platformSlow), tests: one("edge/configuration.TestSlowPlatform")},
	{steps: one(ticketApplied), faults: one(race), tests: one("edge/configuration.TestRacingOperators", "program/e2e.TestRacingOperatorsGetOneWinner")},
	{steps: one(ticketApplied), faults: one(downForLong), tests: one("edge/configuration.TestOutageKeepsServing")},
	{steps: one(ticketApplied), faults: one(withdrawn), tests: one("edge/configuration.TestWithdrawnKeyStops", "program/e2e.TestWithdrawnKeyStopsEverywhere")},
	{steps: one(ticketApplied), faults: one(cutBothWays), tests: one("edge/configuration.TestIsolatedHostRefuses")},
	{steps: one(ticketApplied), faults: one(killedInDown), tests: one("edge/configuration.TestRestartDuringOutage")},
	{steps: one(ticketApplied), faults: one(doubled), tests: one("edge/configuration.TestApplyOrder")},
	{steps: one(ticketApplied), faults: one(swapFails), because: "a ticket only names the version; whether engines can load it shows later"},

	// Samples.
	{steps: one(sampleGenerated, sampleCopied, sampleScored), faults: join(disturbed, one(short, platformDown, platformSlow, downForLong)), tests: one("edge/trainer.TestSamplesUnderFaults")},
	{steps: one(sampleGenerated), faults: one(killed, short), tests: one("edge/trainer.TestEngineCrashMidSample")},
	{steps: one(sampleGenerated), faults: one(crossed), tests: one("edge/exchange.TestSurplusAnswerIsNotGivenToTheNextCall", "edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: one(sampleGenerated), faults: one(swapFails), tests: one("edge/trainer.TestFailedSwapDelaysSamples")},
	{steps: one(sampleCopied), faults: one(killed), tests: one("edge/trainer.TestBothCopiesLost")},
	{steps: one(sampleCopied), faults: one(crossed), tests: one("edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: one(sampleScored), faults: one(killed, answerLost, crossed), tests: one("edge/trainer.TestScoringFails")},
	{steps: one(sampleBatched), faults: join(disturbed, one(platformSlow)), tests: one("edge/trainer.TestBatchesUnderFaults", "core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: one(sampleBatched), faults: one(killed, answerLost, lostAndDead), tests: one("edge/trainer.TestCoordinatorKilledAfterWrite")},
	{steps: one(sampleBatched), faults: one(short), tests: one("edge/platform.TestShortAnswerIsNoAnswer", "edge/trainer.TestBatchesUnderFaults")},
	{steps: one(sampleBatched), faults: one(crossed), because: oneCallAConnection},
	{steps: one(sampleBatched, sampleDelivered), faults: one(frozen), tests: one("edge/trainer.TestTwoBelievers")},
	{steps: one(sampleBatched), faults: one(frozen), tests: one("edge/trainer.TestLeaseEndsBeforeWrite")},
	{steps: one(sampleBatched, sampleDelivered), faults: one(platformDown, downForLong), tests: one("edge/trainer.TestOutageWithCursor", "edge/trainer.TestOutageWithoutCursor")},
	{steps: one(sampleDelivered), faults: one(killed, frozen, cutOneWay, cutBothWays, answerLost, answerLate, short, platformDown, platformSlow, downForLong, killedInDown, wokenInDown, lostAndDead), tests: one("edge/trainer.TestDeliveryUnderFaults")},
	{steps: one(sampleDelivered), faults: one(killed, answerLost, answerLate, doubled, crossed, killedInDown, wokenInDown, lostAndDead), tests: one("core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: one(sampleDelivered), faults: one(killed, frozen, platformDown, downForLong, killedInDown, wokenInDown), tests: one("program/e2e.TestTrainerGetsEachSampleOnceWhileThingsFail")},
	{steps: samples, faults: one(withdrawn), tests: one("edge/trainer.TestKeyWithdrawnWhileWaiting")},
	{steps: samples, faults: one(race), because: "a race of operators has one winner before any sample sees it"},
	{steps: one(sampleCopied, sampleScored, sampleBatched, sampleDelivered), faults: one(swapFails), because: "the tokens are made; spans name the versions that made them"},

	// Leases.
	{steps: one(leaseTaken, leaseRenewed), faults: disturbed, tests: one("edge/duty.TestLeaseUnderFaults")},
	{steps: one(leaseTaken, leaseRenewed), faults: one(platformSlow), tests: one("edge/duty.TestLeaseWhileThePlatformIsSlow")},
	{steps: one(leaseTaken, leaseRenewed), faults: one(short), tests: one("edge/platform.TestShortAnswerIsNoAnswer", "edge/duty.TestLeaseUnderFaults")},
	{steps: one(leaseTaken, leaseRenewed), faults: one(answerLost), tests: one("edge/duty.TestLostAnswers", "core/lease.TestLostRenewalAnswer", "core/lease.TestOlderOfTwoLostRenewals")},
	{steps: one(leaseRenewed), faults: one(frozen), tests: one("core/lease.TestPausedHolderWakes", "edge/duty.TestPausedHolderKnowsWithoutCalls", "program/e2e.TestWokenHolderDoesNoHarm")},
	{steps: one(leaseTaken), faults: one(frozen), tests: one("core/lease.TestTwoHoldersNever")},
	{steps: one(leaseUsed), faults: disturbed, tests: one("edge/fleet.TestOrdersUnderFaults")},
	{steps: one(leaseUsed), faults: one(frozen), tests: one("edge/fleet.TestPauseAfterTheCheckEndsTheWrite", "program/e2e.TestWokenHolderDoesNoHarm")},
	{steps: one(leaseUsed), faults: one(platformSlow), tests: one("edge/fleet.TestOrdersWhileThePlatformIsSlow")},
	{steps: one(leaseUsed), faults: one(short), tests: one("edge/platform.TestShortAnswerIsNoAnswer", "edge/fleet.TestOrdersUnderFaults")},
	{steps: one(leaseLost), faults: disturbed, tests: one("edge/duty.TestLeaseUnderFaults", "edge/duty.TestReleaseUnderFaults")},
	{steps: one(leaseLost), faults: one(frozen), tests: one("edge/duty.TestPausedHolderKnowsWithoutCalls", "program/e2e.TestWokenHolderDoesNoHarm")},
	{steps: one(leaseLost), faults: one(killed), tests: one("edge/duty.TestTakeoverAfterDeath")},
	{steps: one(leaseLost), faults: one(killedInDown), tests: one("edge/duty.TestReleaseInOutage")},
	{steps: one(leaseLost), faults: one(platformSlow), tests: one("edge/duty.TestLeaseWhileThePlatformIsSlow")},
	{steps: one(leaseLost), faults: one(short), tests: one("edge/platform.TestShortAnswerIsNoAnswer", "edge/duty.TestReleaseUnderFaults")},
	{steps: leases, faults: one(platformDown, downForLong), tests: one("edge/duty.TestOutage")},
	{steps: leases, faults: one(crossed), because: oneCallAConnection},
	{steps: leases, faults: one(race, withdrawn, swapFails), because: "leases depend on neither tickets, keys nor weights"},

	// Server orders.
	{steps: orders, faults: disturbed, tests: one("edge/fleet.TestOrdersUnderFaults")},
	{steps: one(orderSent), faults: one(frozen), tests: one("edge/fleet.TestPauseAfterTheCheckEndsTheWrite", "program/e2e.TestWokenHolderDoesNoHarm")},
	{steps: orders, faults: one(platformDown, downForLong), tests: one("edge/fleet.TestOrdersUnderFaults")},
	{steps: orders, faults: one(platformSlow), tests: one("edge/fleet.TestOrdersWhileThePlatformIsSlow")},
	{steps: one(orderPrepared), faults: one(short), tests: one("program/process.TestShortAnswerMakesNoOrder", "program/process.TestShortAnswerStopsNoServer")},
	{steps: one(orderSent, orderAnswered), faults: one(short), tests: one("edge/platform.TestShortAnswerIsNoAnswer", "edge/fleet.TestOrdersUnderFaults")},
	{steps: orders, faults: one(crossed), because: oneCallAConnection},
	{steps: orders, faults: one(race, withdrawn, swapFails), because: "orders follow load and one accepted configuration; no key or weight is part of them"},

	// Usage.
	{steps: one(usageCounted), faults: one(wokenInDown), tests: one("program/e2e.TestAgentWokenInAnOutageKeepsItsCounts")},
	{steps: one(usageCounted), faults: one(killed, cutOneWay, cutBothWays, answerLost, answerLate, doubled, short, killedInDown, lostAndDead), tests: one("edge/billing.TestCountIsInTwoPlaces")},
	{steps: one(usageCounted), faults: one(doubled, crossed, answerLate), tests: one("core/usage.TestMergeIsTheSameForAllOrdersAndRepeats")},
	{steps: one(usageCounted), faults: one(frozen), tests: one("program/e2e.TestUsageIsReportedOnceForEachWindow")},
	{steps: one(usageCounted), faults: one(platformSlow), because: "an agent counts in its memory and asks nothing of the platform"},
	{steps: one(usageFlushed), faults: disturbed, tests: one("edge/billing.TestFlushUnderFaults")},
	{steps: one(usageFlushed), faults: one(answerLost), tests: one("edge/billing.TestFlushAfterALostAnswerCountsOnce")},
	{steps: one(usageFlushed), faults: one(doubled), tests: one("edge/billing.TestFlushOfTwoWritersKeepsBoth", "edge/billing.TestFlushWritesNothingTwice")},
	{steps: one(usageFlushed), faults: one(short), tests: one("edge/platform.TestShortAnswerIsNoAnswer", "edge/billing.TestFlushUnderFaults")},
	{steps: one(usageCounted, usageFlushed), faults: one(platformDown, downForLong), tests: one("edge/billing.TestOutageOnlyDelaysCounts")},
	{steps: closing, faults: disturbed, tests: one("edge/billing.TestClosingUnderFaults")},
	{steps: closing, faults: one(killed, answerLost, lostAndDead), tests: one("edge/billing.TestSecondClosingAtEveryCallOfTheFirst", "edge/billing.TestReportAfterALostAnswerHasTheSameBytes")},
	{steps: closing, faults: one(frozen), tests: one("edge/billing.TestTwoClosersThatOvertakeEachOther", "edge/billing.TestHolderThatLostItsDutyStopsBeforeItsNextWrite")},
	{steps: closing, faults: one(short), tests: one("edge/platform.TestShortAnswerIsNoAnswer", "edge/billing.TestClosingUnderFaults")},
	{steps: closing, faults: one(platformDown, downForLong), tests: one("edge/billing.TestWindowsOfAnOutageAreClosedInTheirOrder")},
	{steps: closing, faults: one(doubled, answerLate), tests: one("edge/billing.TestEveryUnitIsReportedOnceInAllInterleavings")},
	{steps: join(one(usageFlushed), closing), faults: one(platformSlow), tests: one("edge/billing.TestClosingWhileThePlatformIsSlow")},
	{steps: join(one(usageFlushed), closing), faults: one(crossed), because: oneCallAConnection},
	{steps: join(one(usageCounted, usageFlushed), closing), faults: one(race), because: "usage is counted by organisation, whatever the configuration"},
	{steps: join(one(usageCounted, usageFlushed), closing), faults: one(withdrawn, swapFails), because: "usage is counted by organisation, whatever its keys and the weights are"},
}
