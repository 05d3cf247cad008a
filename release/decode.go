package release

import (
	"pimentospread"
	"pimentospread/strict"
)

// DecodeSet decodes a set. Its error contains a fault for every unknown field and
// every value of the wrong type or unit; the returned set then has the remaining
// fields. DecodeSet does not check references.
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

// CheckSet decodes a set and returns all faults of its fields and objects, without
// comparing it to a current release. It returns an error if data is not JSON.
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
		// A value that could not be decoded is missing from the set; don't report it twice.
		if !unreadable[f.Path] {
			faults = append(faults, f)
		}
	}
	return faults, nil
}
