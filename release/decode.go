package release

import (
	"pimentospread"
	"pimentospread/strict"
)

// DecodeSet reads a set. Its error carries every unknown field and every value
// of the wrong kind or unit as a fault; the set then has all the rest. It does
// not check references.
func DecodeSet(data []byte) (Set, error) {
	var s Set
	faults, err := strict.Decode(data, &s)
	if err != nil {
		return Set{}, err
	}
	if len(faults) > 0 {
		err := pimentospread.ErrInvalid.New("the object set has %d unknown or unreadable fields", len(faults))
		return s, pimentospread.WithFaults(pimentospread.At(err, "decode", ""), faults)
	}
	return s, nil
}

// CheckSet returns every fault of a set that stands by itself, those of its
// fields and those of its objects. An error means that it is not JSON.
func CheckSet(data []byte) ([]pimentospread.Fault, error) {
	s, err := DecodeSet(data)
	faults := pimentospread.FaultsOf(err)
	if err != nil && len(faults) == 0 {
		return nil, err
	}
	unreadable := map[string]bool{}
	for _, f := range faults {
		unreadable[f.Path] = true
	}
	_, found := Next(nil, s, Publication{ID: "check"})
	for _, f := range found {
		// A value that could not be read is missing from the set; that is no second fault.
		if !unreadable[f.Path] {
			faults = append(faults, f)
		}
	}
	return faults, nil
}
