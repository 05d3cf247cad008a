package admission

const (
	// attemptsPerRetry is how many first attempts earn one retry.
	attemptsPerRetry = 10
	// maxRetries bounds the retries that a quiet time saves up.
	maxRetries = 10
	// shedWindow is the number of attempts over which shedding is counted.
	shedWindow = 100
)

// retryBudget earns one retry for ten first attempts. The unit is a tenth of a retry.
type retryBudget struct{ tenths int }

func (b *retryBudget) earn() { b.tenths = min(b.tenths+1, maxRetries*attemptsPerRetry) }

func (b *retryBudget) take() bool {
	if b.tenths < attemptsPerRetry {
		return false
	}
	b.tenths -= attemptsPerRetry
	return true
}

// shedHistory remembers which of the last attempts at a pool were shed.
type shedHistory struct {
	shed  [shedWindow]bool
	next  int
	count int
}

func (h *shedHistory) add(shed bool) {
	if h.shed[h.next] {
		h.count--
	}
	if shed {
		h.count++
	}
	h.shed[h.next] = shed
	h.next = (h.next + 1) % shedWindow
}

// overloaded says that more than half of the last attempts were shed.
func (h *shedHistory) overloaded() bool { return h.count > shedWindow/2 }
