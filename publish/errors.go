package publish

import (
	"fmt"

	"pimentospread"
	"pimentospread/release"
)

// NewInvalidError returns an error of type ErrInvalid that contains the faults.
func NewInvalidError(faults []pimentospread.Fault) error {
	err := pimentospread.ErrInvalid.New("the objects have %d faults", len(faults))
	return pimentospread.WithFaults(pimentospread.At(err, "check", ""), faults)
}

func newConflictError(winner *release.Release) error {
	what := "no release is in force"
	if winner != nil {
		what = fmt.Sprintf("generation %d by %q is in force", winner.Generation, winner.Publisher)
	}
	return pimentospread.At(pimentospread.ErrConflict.New("lost the race: %s", what), "publish", "platform")
}

func newBehindError(stored, held, newest pimentospread.Generation) error {
	err := pimentospread.ErrUnavailable.New("platform has generation %d and this host generation %d, but a peer has generation %d; nothing was published, try again", stored, held, newest)
	return pimentospread.At(err, "publish", "platform")
}

func newNotRecoveredError(lost *release.Release) error {
	err := pimentospread.ErrUnavailable.New("platform has lost generation %d and did not confirm that it was written again; nothing was published, try again", lost.Generation)
	return pimentospread.At(err, "publish", "platform")
}

func newUncertainError(err error, next *release.Release) error {
	wrapped := pimentospread.ErrUncertain.Wrap(err, "the platform did not confirm whether generation %d took effect", next.Generation)
	return pimentospread.At(wrapped, "publish", "platform")
}
