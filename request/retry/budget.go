package retry

const (
	// earnedPerRequest is the number of extra attempts that one request adds to the budget.
	earnedPerRequest = 0.1
	// maximumSaved is the largest number of extra attempts that the budget holds, and so the largest burst.
	maximumSaved = 10
)

// Budget allows extra attempts in proportion to the number of requests. It is not safe for concurrent use.
type Budget struct {
	// saved is the number of extra attempts that are allowed now, with the fraction earned towards the next.
	saved float64
}

// NewBudget returns a budget that holds one extra attempt.
func NewBudget() *Budget { return &Budget{saved: 1} }

// Earn adds the share of one request to the budget.
func (b *Budget) Earn() { b.saved = min(maximumSaved, b.saved+earnedPerRequest) }

// Spend takes one extra attempt from the budget and reports whether it held one.
func (b *Budget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
