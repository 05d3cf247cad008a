package member_test

import (
	"fmt"

	"pimentospread/member"
)

// Rank returns the same order on every host of a cell. Hosts in failure domains
// that are not chosen yet come first.
func ExampleRank() {
	hosts := []member.Candidate{
		{ID: "neg-1", FailureDomain: "lk-west-neg"},
		{ID: "neg-2", FailureDomain: "lk-west-neg"},
		{ID: "col-1", FailureDomain: "lk-west-col"},
	}
	for _, id := range member.Rank(7, hosts, 2) {
		fmt.Println(id[:3])
	}
	// Unordered output:
	// neg
	// col
}
