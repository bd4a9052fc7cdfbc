package fleet

// Amount is an amount of machine resources, used or free.
type Amount struct{ CPUs, GPUs, MemGB float64 }

// Add returns the sum of two amounts.
func (a Amount) Add(o Amount) Amount {
	return Amount{CPUs: a.CPUs + o.CPUs, GPUs: a.GPUs + o.GPUs, MemGB: a.MemGB + o.MemGB}
}

// Sub returns the amount less another one.
func (a Amount) Sub(o Amount) Amount {
	return Amount{CPUs: a.CPUs - o.CPUs, GPUs: a.GPUs - o.GPUs, MemGB: a.MemGB - o.MemGB}
}

// Max returns the larger of the two amounts, for each resource on its own.
func (a Amount) Max(o Amount) Amount {
	return Amount{CPUs: max(a.CPUs, o.CPUs), GPUs: max(a.GPUs, o.GPUs), MemGB: max(a.MemGB, o.MemGB)}
}

// Plus returns the amount with the resources of an attempt added.
func (a Amount) Plus(t *Attempt) Amount {
	return Amount{CPUs: a.CPUs + t.CPUs, GPUs: a.GPUs + t.GPUs, MemGB: a.MemGB + t.MemGB}
}

// Minus returns the amount less the resources of an attempt.
func (a Amount) Minus(t *Attempt) Amount {
	return Amount{CPUs: a.CPUs - t.CPUs, GPUs: a.GPUs - t.GPUs, MemGB: a.MemGB - t.MemGB}
}
