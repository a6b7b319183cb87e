package ticket

// NumberStatus is the status of a ticket's number, given the tickets accepted so far.
type NumberStatus uint8

// The statuses of a number.
const (
	// NumberNext means that the ticket is the next one and may be accepted.
	NumberNext NumberStatus = iota + 1
	// NumberAccepted means that the same ticket was already accepted under this number.
	NumberAccepted
	// NumberTaken means that another ticket was accepted under this number.
	NumberTaken
	// NumberEarly means that a ticket with a lower number has to be accepted first.
	NumberEarly
	// NumberForgotten means that the number is older than the digests that the head keeps, so that it is unknown
	// whether the same ticket was accepted.
	NumberForgotten
	// NumberInvalid means that the number is below 1.
	NumberInvalid
)

// String returns the name of the status.
func (o NumberStatus) String() string {
	switch o {
	case NumberNext:
		return "next"
	case NumberAccepted:
		return "accepted"
	case NumberTaken:
		return "taken"
	case NumberEarly:
		return "early"
	case NumberForgotten:
		return "forgotten"
	default:
		return "invalid"
	}
}

// NumberStatus returns the status of a number for a ticket with the given digest. Because the head changes only by
// conditional update, the status of a number that isn't above LastTicket is final.
func (h Head) NumberStatus(number int, digest string) NumberStatus {
	if number < 1 {
		return NumberInvalid
	}
	if number == h.LastTicket+1 {
		return NumberNext
	}
	if number > h.LastTicket {
		return NumberEarly
	}
	accepted, ok := h.Digest(number)
	if !ok {
		return NumberForgotten
	}
	if accepted != digest {
		return NumberTaken
	}
	return NumberAccepted
}

// Digest returns the digest of the accepted ticket with the given number; false if the head doesn't keep it.
func (h Head) Digest(number int) (string, bool) {
	index := len(h.Digests) - 1 - (h.LastTicket - number)
	if index < 0 || index >= len(h.Digests) {
		return "", false
	}
	return h.Digests[index], true
}
