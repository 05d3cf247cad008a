package publish

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"

	"pimentospread"
	"pimentospread/release"
)

var faultsProperty = errorx.RegisterProperty("faults")

// Faults returns the faults that an error of Publish carries.
func Faults(err error) []pimentospread.Fault {
	cast := errorx.Cast(err)
	if cast == nil {
		return nil
	}
	v, _ := cast.Property(faultsProperty)
	faults, _ := v.([]pimentospread.Fault)
	return faults
}

// Invalid returns an error of type ErrInvalid that carries the faults.
func Invalid(faults []pimentospread.Fault) error {
	lines := make([]string, 0, len(faults))
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	err := pimentospread.ErrInvalid.New("the objects have %d faults: %s", len(faults), strings.Join(lines, "; "))
	return pimentospread.At(err, "check", "").WithProperty(faultsProperty, faults)
}

func lostTo(winner *release.Release) error {
	what := "no release is in force"
	if winner != nil {
		what = fmt.Sprintf("generation %d by %q is in force", winner.Generation, winner.Publisher)
	}
	return pimentospread.At(pimentospread.ErrConflict.New("lost the race: %s", what), "publish", "platform")
}

func uncertain(err error, next *release.Release) error {
	wrapped := pimentospread.ErrUncertain.Wrap(err, "the platform does not say whether generation %d took effect", next.Generation)
	return pimentospread.At(wrapped, "publish", "platform")
}
