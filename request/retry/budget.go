package retry

const (
	// share is the part of the requests that may be followed by an extra attempt.
	share = 0.1
	// burst is the largest number of extra attempts that can be saved up.
	burst = 10
)

// Budget allows extra attempts in proportion to the requests seen; the shell serialises its calls.
type Budget struct {
	saved float64
}

// NewBudget returns a budget that allows one extra attempt at once.
func NewBudget() *Budget { return &Budget{saved: 1} }

// Earn notes a request.
func (b *Budget) Earn() { b.saved = min(burst, b.saved+share) }

// Spend reports whether an extra attempt is allowed and takes it from the budget.
func (b *Budget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
