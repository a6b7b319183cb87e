package ticket

// Order says how a numbered ticket stands to the tickets accepted so far.
type Order uint8

// The ways in which a ticket stands to a head.
const (
	// OrderNext: the ticket is the next one and may be accepted.
	OrderNext Order = iota + 1
	// OrderAccepted: the same ticket was accepted already under this number.
	OrderAccepted
	// OrderTaken: another ticket was accepted under this number.
	OrderTaken
	// OrderEarly: a ticket with a lower number has to come first.
	OrderEarly
	// OrderForgotten: the number is older than the digests that are kept, so it can't be told
	// whether it is the same ticket.
	OrderForgotten
	// OrderInvalid: numbers start at 1.
	OrderInvalid
)

// String returns the name of the order.
func (o Order) String() string {
	switch o {
	case OrderNext:
		return "next"
	case OrderAccepted:
		return "accepted"
	case OrderTaken:
		return "taken"
	case OrderEarly:
		return "early"
	case OrderForgotten:
		return "forgotten"
	default:
		return "invalid"
	}
}

// Order says how the ticket with this number and digest stands to the head. Because the head changes
// by conditional update only, the answer for a number that is not above LastTicket is final.
func (h Head) Order(number int, digest string) Order {
	if number < 1 {
		return OrderInvalid
	}
	if number == h.LastTicket+1 {
		return OrderNext
	}
	if number > h.LastTicket {
		return OrderEarly
	}
	kept, ok := h.Digest(number)
	if !ok {
		return OrderForgotten
	}
	if kept != digest {
		return OrderTaken
	}
	return OrderAccepted
}

// Digest returns the digest of an accepted ticket, if it is still kept.
func (h Head) Digest(number int) (string, bool) {
	at := len(h.Digests) - 1 - (h.LastTicket - number)
	if at < 0 || at >= len(h.Digests) {
		return "", false
	}
	return h.Digests[at], true
}
