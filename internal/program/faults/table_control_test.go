package faults

// oneCallPerConnection is the reason why a call to the platform cannot get the answer of another call. A test in
// edge/exchange covers surplus answers.
const oneCallPerConnection = "a connection to the platform carries one call at a time, and one with a surplus answer is closed, as edge/exchange.TestSurplusAnswerIsNotGivenToTheNextCall shows"

// sweepFaults are injected, alone and in pairs, by tests that sweep over the calls of a step.
var sweepFaults = []string{killed, frozenAndResumed, cutOneWay, cutBothWays, answerLost, answerLate, duplicated, killedInOutage, resumedInOutage, answerLostThenKilled}

// controlRules cover tickets, samples, leases, server orders and usage.
var controlRules = []rule{
	// Tickets.
	{steps: list(ticketApplied), faults: sweepFaults, tests: list("edge/configuration.TestApplyAtEachCall")},
	{steps: list(ticketApplied), faults: list(answerLost, platformDown), tests: list("edge/configuration.TestApplyUnderFaults")},
	{steps: list(ticketApplied), faults: list(answerCutShort), tests: list("edge/platform.TestShortAnswerIsNoAnswer", "edge/configuration.TestApplyAtEachCall")},
	{steps: list(ticketApplied), faults: list(answersCrossed), reason: oneCallPerConnection},
	{steps: list(ticketApplied), faults: list(platformSlow), tests: list("edge/configuration.TestSlowPlatform")},
	{steps: list(ticketApplied), faults: list(concurrentOperators), tests: list("edge/configuration.TestRacingOperators", "program/e2e.TestRacingOperatorsGetOneWinner")},
	{steps: list(ticketApplied), faults: list(longOutage), tests: list("edge/configuration.TestOutageKeepsServing")},
	{steps: list(ticketApplied), faults: list(keyWithdrawn), tests: list("edge/configuration.TestWithdrawnKeyStops", "program/e2e.TestWithdrawnKeyStopsEverywhere")},
	{steps: list(ticketApplied), faults: list(cutBothWays), tests: list("edge/configuration.TestIsolatedHostRefuses")},
	{steps: list(ticketApplied), faults: list(killedInOutage), tests: list("edge/configuration.TestRestartDuringOutage")},
	{steps: list(ticketApplied), faults: list(duplicated), tests: list("edge/configuration.TestApplyOrder")},
	{steps: list(ticketApplied), faults: list(frozenAndResumed), tests: list("edge/configuration.TestPublisherThatWokeWritesItsPartsAgain")},
	{steps: list(ticketApplied), faults: list(weightSwitchFails), reason: "a ticket only names the version; engines load it later"},

	// Samples.
	{steps: list(sampleGenerated, sampleCopied, sampleScored), faults: join(sweepFaults, list(answerCutShort, platformDown, platformSlow, longOutage)), tests: list("edge/trainer.TestSamplesUnderFaults")},
	{steps: list(sampleGenerated), faults: list(killed, answerCutShort), tests: list("edge/trainer.TestEngineCrashMidSample")},
	{steps: list(sampleGenerated), faults: list(answersCrossed), tests: list("edge/exchange.TestSurplusAnswerIsNotGivenToTheNextCall", "edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: list(sampleGenerated), faults: list(weightSwitchFails), tests: list("edge/trainer.TestFailedSwapDelaysSamples")},
	{steps: list(sampleCopied), faults: list(killed), tests: list("edge/trainer.TestBothCopiesLost")},
	{steps: list(sampleCopied), faults: list(answersCrossed), tests: list("edge/peer.TestTamperedAnswerIsNeverWhole")},
	{steps: list(sampleScored), faults: list(killed, answerLost, answersCrossed), tests: list("edge/trainer.TestScoringFails")},
	{steps: list(sampleBatched), faults: join(sweepFaults, list(platformSlow)), tests: list("edge/trainer.TestBatchesUnderFaults", "core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: list(sampleBatched), faults: list(killed, answerLost, answerLostThenKilled), tests: list("edge/trainer.TestCoordinatorKilledAfterWrite")},
	{steps: list(sampleBatched), faults: list(answerCutShort), tests: list("edge/platform.TestShortAnswerIsNoAnswer", "edge/trainer.TestBatchesUnderFaults")},
	{steps: list(sampleBatched), faults: list(answersCrossed), reason: oneCallPerConnection},
	{steps: list(sampleBatched, sampleDelivered), faults: list(frozenAndResumed), tests: list("edge/trainer.TestTwoHostsThatClaimTheLease")},
	{steps: list(sampleBatched), faults: list(frozenAndResumed), tests: list("edge/trainer.TestLeaseEndsBeforeWrite")},
	{steps: list(sampleBatched, sampleDelivered), faults: list(platformDown, longOutage), tests: list("edge/trainer.TestOutageWithCursor", "edge/trainer.TestOutageWithoutCursor")},
	{steps: list(sampleDelivered), faults: list(killed, frozenAndResumed, cutOneWay, cutBothWays, answerLost, answerLate, answerCutShort, platformDown, platformSlow, longOutage, killedInOutage, resumedInOutage, answerLostThenKilled), tests: list("edge/trainer.TestDeliveryUnderFaults")},
	{steps: list(sampleDelivered), faults: list(killed, answerLost, answerLate, duplicated, answersCrossed, killedInOutage, resumedInOutage, answerLostThenKilled), tests: list("core/delivery.TestEverySampleIsDeliveredOnce")},
	{steps: list(sampleDelivered), faults: list(killed, frozenAndResumed, platformDown, longOutage, killedInOutage, resumedInOutage), tests: list("program/e2e.TestTrainerGetsEachSampleOnceDuringFaults")},
	{steps: list(sampleDelivered), faults: list(platformDown, longOutage, killedInOutage, resumedInOutage), tests: list("edge/trainer.TestBatchOfAnOutageIsRepeatedBySuccessors")},
	{steps: samples, faults: list(keyWithdrawn), tests: list("edge/trainer.TestKeyWithdrawnWhileWaiting")},
	{steps: list(sampleBatched, sampleDelivered), faults: list(frozenAndResumed, resumedInOutage), tests: list("core/delivery.TestUnsentWriteIsNoOutage", "edge/trainer.TestOutageMustLastSinceTermEnd")},
	{steps: list(sampleBatched, sampleDelivered), faults: list(cutOneWay, cutBothWays), tests: list("edge/trainer.TestCoordinatorCutOffFromPlatformDoesNotServe")},
	{steps: list(sampleBatched, sampleDelivered), faults: list(answerLate), tests: list("core/delivery.TestCursorAheadOfLateWriteCausesReread")},
	{steps: samples, faults: list(concurrentOperators), reason: "one of several concurrent tickets is accepted before any sample uses it"},
	{steps: list(sampleCopied, sampleScored, sampleBatched, sampleDelivered), faults: list(weightSwitchFails), reason: "the tokens are already generated; their spans name the versions that generated them"},

	// Leases.
	{steps: list(leaseTaken, leaseRenewed), faults: sweepFaults, tests: list("edge/duty.TestLeaseUnderFaults")},
	{steps: list(leaseTaken, leaseRenewed), faults: list(platformSlow), tests: list("edge/duty.TestLeaseWhileThePlatformIsSlow")},
	{steps: list(leaseTaken, leaseRenewed), faults: list(answerCutShort), tests: list("edge/platform.TestShortAnswerIsNoAnswer", "edge/duty.TestLeaseUnderFaults")},
	{steps: list(leaseTaken, leaseRenewed), faults: list(answerLost), tests: list("edge/duty.TestLostAnswers", "core/lease.TestLostRenewalAnswer", "core/lease.TestOlderOfTwoLostRenewals")},
	{steps: list(leaseRenewed), faults: list(frozenAndResumed), tests: list("core/lease.TestPausedHolderResumes", "edge/duty.TestPausedHolderKnowsWithoutCalls", "program/e2e.TestResumedDutyHolderIsFenced")},
	{steps: list(leaseTaken), faults: list(frozenAndResumed), tests: list("core/lease.TestNeverTwoHolders")},
	{steps: list(leaseUsed), faults: sweepFaults, tests: list("edge/fleet.TestOrdersUnderFaults")},
	{steps: list(leaseUsed), faults: list(frozenAndResumed), tests: list("edge/fleet.TestPauseAfterTheCheckEndsTheWrite", "program/e2e.TestResumedDutyHolderIsFenced")},
	{steps: list(leaseUsed), faults: list(platformSlow), tests: list("edge/fleet.TestOrdersWhileThePlatformIsSlow")},
	{steps: list(leaseUsed), faults: list(answerCutShort), tests: list("edge/platform.TestShortAnswerIsNoAnswer", "edge/fleet.TestOrdersUnderFaults")},
	{steps: list(leaseLost), faults: sweepFaults, tests: list("edge/duty.TestLeaseUnderFaults", "edge/duty.TestReleaseUnderFaults")},
	{steps: list(leaseLost), faults: list(frozenAndResumed), tests: list("edge/duty.TestPausedHolderKnowsWithoutCalls", "program/e2e.TestResumedDutyHolderIsFenced")},
	{steps: list(leaseLost), faults: list(killed), tests: list("edge/duty.TestTakeoverAfterDeath")},
	{steps: list(leaseLost), faults: list(killedInOutage), tests: list("edge/duty.TestReleaseInOutage")},
	{steps: list(leaseLost), faults: list(platformSlow), tests: list("edge/duty.TestLeaseWhileThePlatformIsSlow")},
	{steps: list(leaseLost), faults: list(answerCutShort), tests: list("edge/platform.TestShortAnswerIsNoAnswer", "edge/duty.TestReleaseUnderFaults")},
	{steps: leases, faults: list(platformDown, longOutage), tests: list("edge/duty.TestOutage")},
	{steps: leases, faults: list(answersCrossed), reason: oneCallPerConnection},
	{steps: leases, faults: list(concurrentOperators, keyWithdrawn, weightSwitchFails), reason: "leases depend on neither tickets, keys nor weights"},

	// Server orders.
	{steps: orders, faults: sweepFaults, tests: list("edge/fleet.TestOrdersUnderFaults")},
	{steps: list(orderSent), faults: list(frozenAndResumed), tests: list("edge/fleet.TestPauseAfterTheCheckEndsTheWrite", "program/e2e.TestResumedDutyHolderIsFenced")},
	{steps: orders, faults: list(platformDown, longOutage), tests: list("edge/fleet.TestOrdersUnderFaults")},
	{steps: orders, faults: list(platformSlow), tests: list("edge/fleet.TestOrdersWhileThePlatformIsSlow")},
	{steps: list(orderPrepared), faults: list(answerCutShort), tests: list("program/process.TestShortAnswerMakesNoOrder", "program/process.TestShortAnswerStopsNoServer")},
	{steps: list(orderSent, orderAnswered), faults: list(answerCutShort), tests: list("edge/platform.TestShortAnswerIsNoAnswer", "edge/fleet.TestOrdersUnderFaults")},
	{steps: orders, faults: list(answersCrossed), reason: oneCallPerConnection},
	{steps: orders, faults: list(concurrentOperators, keyWithdrawn, weightSwitchFails), reason: "orders depend on load and one accepted configuration, not on keys or weights"},

	// Usage.
	{steps: list(usageCounted), faults: list(resumedInOutage), tests: list("program/e2e.TestAgentResumedInAnOutageKeepsItsCounts")},
	{steps: list(usageCounted), faults: list(killed, cutOneWay, cutBothWays, answerLost, answerLate, duplicated, answerCutShort, killedInOutage, answerLostThenKilled), tests: list("edge/billing.TestCountIsInTwoPlaces")},
	{steps: list(usageCounted), faults: list(duplicated, answersCrossed, answerLate), tests: list("core/usage.TestMergeIgnoresOrderAndRepeats")},
	{steps: list(usageCounted), faults: list(frozenAndResumed), tests: list("program/e2e.TestUsageIsReportedOnceForEachWindow")},
	{steps: list(usageCounted), faults: list(platformSlow), reason: "an agent counts in memory and makes no call to the platform"},
	{steps: list(usageFlushed), faults: sweepFaults, tests: list("edge/billing.TestFlushUnderFaults")},
	{steps: list(usageFlushed), faults: list(answerLost), tests: list("edge/billing.TestFlushAfterALostAnswerCountsOnce")},
	{steps: list(usageFlushed), faults: list(duplicated), tests: list("edge/billing.TestFlushOfTwoWritersKeepsBoth", "edge/billing.TestFlushWritesNothingTwice")},
	{steps: list(usageFlushed), faults: list(answerCutShort), tests: list("edge/platform.TestShortAnswerIsNoAnswer", "edge/billing.TestFlushUnderFaults")},
	{steps: list(usageCounted, usageFlushed), faults: list(platformDown, longOutage), tests: list("edge/billing.TestOutageOnlyDelaysCounts")},
	{steps: closing, faults: sweepFaults, tests: list("edge/billing.TestClosingUnderFaults")},
	{steps: closing, faults: list(killed, answerLost, answerLostThenKilled), tests: list("edge/billing.TestSecondClosingAtEveryCallOfTheFirst", "edge/billing.TestReportAfterALostAnswerHasTheSameBytes")},
	{steps: closing, faults: list(frozenAndResumed), tests: list("edge/billing.TestTwoClosersThatOvertakeEachOther", "edge/billing.TestHolderThatLostItsDutyStopsBeforeItsNextWrite")},
	{steps: closing, faults: list(answerCutShort), tests: list("edge/platform.TestShortAnswerIsNoAnswer", "edge/billing.TestClosingUnderFaults")},
	{steps: closing, faults: list(platformDown, longOutage), tests: list("edge/billing.TestWindowsOfAnOutageAreClosedInTheirOrder")},
	{steps: closing, faults: list(duplicated, answerLate), tests: list("edge/billing.TestEveryUnitIsReportedOnceInAllInterleavings")},
	{steps: join(list(usageFlushed), closing), faults: list(platformSlow), tests: list("edge/billing.TestClosingWhileThePlatformIsSlow")},
	{steps: closing, faults: list(platformSlow), tests: list("edge/billing.TestTermsTooShortForAllReportsCloseTheWindow")},
	{steps: list(usageFlushed), faults: list(frozenAndResumed, duplicated), tests: list("edge/billing.TestFormerProcessOfTheSameNameErasesNothing")},
	{steps: join(list(usageFlushed), closing), faults: list(answersCrossed), reason: oneCallPerConnection},
	{steps: join(list(usageCounted, usageFlushed), closing), faults: list(concurrentOperators), reason: "usage is counted by organisation, independently of the configuration"},
	{steps: join(list(usageCounted, usageFlushed), closing), faults: list(keyWithdrawn, weightSwitchFails), reason: "usage is counted by organisation, independently of its keys and of the weights"},
}
