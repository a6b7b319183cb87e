package usage

// Plus returns the sum of a and b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{
		Requests:   a.Requests + b.Requests,
		Tokens:     a.Tokens + b.Tokens,
		ServerTime: a.ServerTime + b.ServerTime,
	}
}

// Max returns the larger value of a and b for each field.
func (a Amount) Max(b Amount) Amount {
	return Amount{
		Requests:   max(a.Requests, b.Requests),
		Tokens:     max(a.Tokens, b.Tokens),
		ServerTime: max(a.ServerTime, b.ServerTime),
	}
}

// Minus returns a minus b. No field goes below zero.
func (a Amount) Minus(b Amount) Amount {
	return Amount{
		Requests:   a.Requests - min(a.Requests, b.Requests),
		Tokens:     a.Tokens - min(a.Tokens, b.Tokens),
		ServerTime: a.ServerTime - min(a.ServerTime, b.ServerTime),
	}
}

// IsZero reports whether nothing was used.
func (a Amount) IsZero() bool {
	return a == Amount{}
}
