package fleet

// Amount is a sum of what tasks take of machines.
type Amount struct{ CPUs, GPUs, MemGB float64 }

// Add adds two amounts.
func (a Amount) Add(o Amount) Amount {
	return Amount{CPUs: a.CPUs + o.CPUs, GPUs: a.GPUs + o.GPUs, MemGB: a.MemGB + o.MemGB}
}

// Sub takes an amount off.
func (a Amount) Sub(o Amount) Amount {
	return Amount{CPUs: a.CPUs - o.CPUs, GPUs: a.GPUs - o.GPUs, MemGB: a.MemGB - o.MemGB}
}

// Max is the larger of two amounts of each resource.
func (a Amount) Max(o Amount) Amount {
	return Amount{CPUs: max(a.CPUs, o.CPUs), GPUs: max(a.GPUs, o.GPUs), MemGB: max(a.MemGB, o.MemGB)}
}

// Plus adds what an attempt takes.
func (a Amount) Plus(t *Attempt) Amount {
	return Amount{CPUs: a.CPUs + t.CPUs, GPUs: a.GPUs + t.GPUs, MemGB: a.MemGB + t.MemGB}
}

// Minus takes off what an attempt takes.
func (a Amount) Minus(t *Attempt) Amount {
	return Amount{CPUs: a.CPUs - t.CPUs, GPUs: a.GPUs - t.GPUs, MemGB: a.MemGB - t.MemGB}
}
