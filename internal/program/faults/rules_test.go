package faults

import "slices"

const head = `# Faults

Which fault at which step is proved by which test (T), cannot occur (N), or is open. This page is written by
` + "`go test ./internal/program/faults -update`" + ` from the table in that package, and a test holds it to it. A T names a test that runs in CI and
brings the fault about at that step; it says nothing of faults that the test doesn't bring about.

How to read some cells: "frozen" is a real stop and continue signal in ` + "`program/e2e`" + ` and held bytes or a gated store elsewhere. Answers crossed at weights and hosts are
sent twice on one connection, and the guard against surplus answers was not shown to be needed there. "Server order prepared" is disturbed at a stand-in for the gathering of
loads, but for short answers, which are cut on real connections. The
requests' "platform down" cells run load through an outage and don't hold a call at each step. "Usage counted" killed or cut short is shown at the ledgers.

Random schedules that passed, each run once on its last form unless said otherwise: lease 100,000; racing operators 20,000; freshness with cuts 50,000 after its last change
of timing; usage closing 5,000 on its last form, and 30,000 and 6,000 on former ones; delivery of samples 60,000 after each of two changes of behaviour, 45,000 after
the next and 60,000 after the last. Fuzzing found nothing: frames 1.2 million inputs and handshakes 0.6 million, both before the handshake gained the process id; tickets 2.2
million; settings 3.5 million. Faults that tests found, with their words, stand in the commits; seeds that show one are kept under testdata.

`

// Steps of the work.
const (
	ticketApplied     = "ticket applied"
	requestAdmitted   = "request admitted"
	requestQueued     = "request queued"
	requestPlaced     = "request placed"
	requestSent       = "request sent"
	requestStarted    = "request started"
	requestAnswered   = "request answered"
	streamRunning     = "stream running"
	sampleGenerated   = "sample generated"
	sampleCopied      = "sample copied"
	sampleScored      = "sample scored"
	sampleBatched     = "sample batched"
	sampleDelivered   = "sample delivered"
	leaseTaken        = "lease taken"
	leaseRenewed      = "lease renewed"
	leaseUsed         = "lease used"
	leaseLost         = "lease lost"
	orderPrepared     = "server order prepared"
	orderSent         = "server order sent"
	orderAnswered     = "server order answered"
	usageCounted      = "usage counted"
	usageFlushed      = "usage flushed"
	usageFrozen       = "usage frozen"
	usageReported     = "usage reported"
	weightsPrefetched = "weight prefetched"
	weightsSwitched   = "weight switched"
	hostJoining       = "host joining"
	hostLeaving       = "host leaving"
)

// Faults that come at a step.
const (
	killed       = "killed"
	frozen       = "frozen and woken"
	cutOneWay    = "cut one way"
	cutBothWays  = "cut both ways"
	answerLost   = "answer lost after the effect"
	answerLate   = "answer late"
	crossed      = "answers crossed"
	doubled      = "doubled"
	short        = "answer cut short"
	platformDown = "platform down"
	platformSlow = "platform slow"
	downForLong  = "platform down for long"
	race         = "operators race"
	withdrawn    = "key withdrawn"
	swapFails    = "swap fails"
	killedInDown = "killed while the platform is down"
	wokenInDown  = "woken while the platform is down"
	lostAndDead  = "answer lost, then killed"
)

var steps = []string{
	ticketApplied, requestAdmitted, requestQueued, requestPlaced, requestSent, requestStarted, requestAnswered, streamRunning,
	sampleGenerated, sampleCopied, sampleScored, sampleBatched, sampleDelivered,
	leaseTaken, leaseRenewed, leaseUsed, leaseLost, orderPrepared, orderSent, orderAnswered,
	usageCounted, usageFlushed, usageFrozen, usageReported, weightsPrefetched, weightsSwitched, hostJoining, hostLeaving,
}

var faults = []string{
	killed, frozen, cutOneWay, cutBothWays, answerLost, answerLate, crossed, doubled, short,
	platformDown, platformSlow, downForLong, race, withdrawn, swapFails, killedInDown, wokenInDown, lostAndDead,
}

// Groups of steps that share a mechanism.
var (
	requests = []string{requestAdmitted, requestQueued, requestPlaced, requestSent, requestStarted, requestAnswered}
	// atEachStep are the steps at which an agent has the request.
	atEachStep = []string{requestQueued, requestPlaced, requestSent, requestStarted, requestAnswered}
	samples    = []string{sampleGenerated, sampleCopied, sampleScored, sampleBatched, sampleDelivered}
	leases     = []string{leaseTaken, leaseRenewed, leaseUsed, leaseLost}
	orders     = []string{orderPrepared, orderSent, orderAnswered}
	closing    = []string{usageFrozen, usageReported}
	weights    = []string{weightsPrefetched, weightsSwitched}
	hosts      = []string{hostJoining, hostLeaving}
)

// hostFaultNames are the faults that come to a host as it joins or leaves.
var hostFaultNames = []string{killed, frozen, cutOneWay, cutBothWays, answerLost, answerLate, crossed, doubled, short, platformSlow, downForLong, killedInDown, wokenInDown, lostAndDead}

func join(groups ...[]string) []string { return slices.Concat(groups...) }

func one(names ...string) []string { return names }
