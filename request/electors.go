package request

import (
	"pimentospread"
	"pimentospread/member"
)

// electorCount is the number of electors of a request. Three is the smallest
// number that leaves a majority when one elector is dead.
const electorCount = 3

// Electors returns the hosts that elect the owner of the request under the
// roster. Dead hosts remain electors until the platform removes them. Leaving
// hosts are skipped, because a new roster version announces their departure.
func Electors(roster member.Roster, id pimentospread.RequestID) []pimentospread.HostID {
	return member.Rank(id.Hash(), eligibleHosts(roster), electorCount)
}

// eligibleHosts returns the hosts of the roster that are not leaving, or all
// hosts when all are leaving.
func eligibleHosts(roster member.Roster) []member.Candidate {
	var eligible, all []member.Candidate
	for _, h := range roster.Hosts {
		c := member.Candidate{ID: h.ID, FailureDomain: h.FailureDomain}
		all = append(all, c)
		if h.State != member.Leaving {
			eligible = append(eligible, c)
		}
	}
	if len(eligible) == 0 {
		return all
	}
	return eligible
}
