package member_test

import (
	"fmt"

	"pimentospread/member"
)

// Every host ranks the hosts of a cell alike for a key, and hosts in other
// failure domains come first.
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
