package request

import (
	"pimentospread"
	"pimentospread/member"
)

// electorCount is the number of electors of a request. Three is the smallest
// number with which one dead elector does not stop a claim.
const electorCount = 3

// Electors returns the hosts that decide who owns the request under the
// roster. Dead hosts stay electors until the platform removes them; leaving
// hosts are passed over, because their going is announced by a new version.
func Electors(roster member.Roster, id pimentospread.RequestID) []pimentospread.HostID {
	return member.Rank(id.Hash(), staying(roster), electorCount)
}

// staying returns the hosts of the roster that do not leave, or all when all leave.
func staying(roster member.Roster) []member.Candidate {
	var stay, all []member.Candidate
	for _, h := range roster.Hosts {
		c := member.Candidate{ID: h.ID, FailureDomain: h.FailureDomain}
		all = append(all, c)
		if h.State != member.Leaving {
			stay = append(stay, c)
		}
	}
	if len(stay) == 0 {
		return all
	}
	return stay
}
