package admission

const (
	// attemptsPerRetry is how many first attempts earn one retry.
	attemptsPerRetry = 10
	// maxRetries bounds the retries that accumulate while none are made.
	maxRetries = 10
	// shedWindow is the number of attempts over which shedding is counted.
	shedWindow = 100
)

// retryBudget allows one retry for each attemptsPerRetry first attempts. It
// counts in tenths of a retry.
type retryBudget struct{ tenths int }

func (b *retryBudget) earn() { b.tenths = min(b.tenths+1, maxRetries*attemptsPerRetry) }

func (b *retryBudget) spend() bool {
	if b.tenths < attemptsPerRetry {
		return false
	}
	b.tenths -= attemptsPerRetry
	return true
}

// shedHistory records which of the last shedWindow attempts at a pool were shed.
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

// overloaded reports whether more than half of the recorded attempts were shed.
func (h *shedHistory) overloaded() bool { return h.count > shedWindow/2 }
