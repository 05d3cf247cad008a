package replay

import (
	"pimentospread"
	"pimentospread/request"
	"pimentospread/trace"
)

// answers gives recorded answers to the attempts of the replay. Attempts have
// other identifiers and may go to other targets than in the recording; the
// answer of the request is the same.
type answers struct {
	// requests finds the request of a recorded attempt.
	requests map[pimentospread.AttemptID]pimentospread.RequestID
	// attempts is the last attempt of each request in the replay.
	attempts map[pimentospread.RequestID]request.Attempt
	// early are answers to requests that the replay has not sent yet.
	early map[pimentospread.RequestID][]request.Answer
}

func newAnswers() answers {
	return answers{
		requests: map[pimentospread.AttemptID]pimentospread.RequestID{},
		attempts: map[pimentospread.RequestID]request.Attempt{},
		early:    map[pimentospread.RequestID][]request.Answer{},
	}
}

func (a answers) recorded(r trace.Attempt) { a.requests[r.ID] = r.Request }

// translate returns the answer for the replay's attempt. It reports false for
// one that waits for its attempt, or that belongs to no recorded attempt.
func (a answers) translate(answer request.Answer) (request.Answer, bool) {
	id, ok := a.requests[answer.Attempt]
	if !ok {
		return answer, false
	}
	attempt, ok := a.attempts[id]
	if !ok {
		a.early[id] = append(a.early[id], answer)
		return answer, false
	}
	answer.Attempt, answer.From = attempt.ID, attempt.Address
	return answer, true
}

// sent notes the attempts of the replay and returns the answers that wait for them.
func (a answers) sent(attempts []request.Attempt) []request.Answer {
	var late []request.Answer
	for _, s := range attempts {
		a.attempts[s.Request] = s
		for _, answer := range a.early[s.Request] {
			answer.Attempt, answer.From = s.ID, s.Address
			late = append(late, answer)
		}
		delete(a.early, s.Request)
	}
	return late
}
