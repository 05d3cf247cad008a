package replay

import (
	"pimentospread"
	"pimentospread/request"
	"pimentospread/trace"
)

// answerMapper assigns recorded answers to the attempts of the replay. Attempts
// have other IDs and may go to other targets than in the recording, so answers are
// matched by request.
type answerMapper struct {
	// requestByAttempt holds the request of each recorded attempt.
	requestByAttempt map[pimentospread.AttemptID]pimentospread.RequestID
	// lastAttempts holds the last attempt of each request in the replay.
	lastAttempts map[pimentospread.RequestID]request.Attempt
	// pending holds the answers to requests for which the replay has made no attempt yet.
	pending map[pimentospread.RequestID][]request.Answer
}

func newAnswerMapper() answerMapper {
	return answerMapper{
		requestByAttempt: map[pimentospread.AttemptID]pimentospread.RequestID{},
		lastAttempts:     map[pimentospread.RequestID]request.Attempt{},
		pending:          map[pimentospread.RequestID][]request.Answer{},
	}
}

// addRecorded adds an attempt of the recording.
func (m answerMapper) addRecorded(attempt trace.Attempt) {
	m.requestByAttempt[attempt.ID] = attempt.Request
}

// translate returns a recorded answer as an answer to the attempt of the replay. It
// returns false if the replay has not made the attempt yet or the answer belongs
// to no recorded attempt.
func (m answerMapper) translate(answer request.Answer) (request.Answer, bool) {
	id, ok := m.requestByAttempt[answer.Attempt]
	if !ok {
		return answer, false
	}
	attempt, ok := m.lastAttempts[id]
	if !ok {
		m.pending[id] = append(m.pending[id], answer)
		return answer, false
	}
	answer.Attempt, answer.From = attempt.ID, attempt.Address
	return answer, true
}

// addAttempts adds attempts of the replay and returns the pending answers to them.
func (m answerMapper) addAttempts(attempts []request.Attempt) []request.Answer {
	var answers []request.Answer
	for _, attempt := range attempts {
		m.lastAttempts[attempt.Request] = attempt
		for _, answer := range m.pending[attempt.Request] {
			answer.Attempt, answer.From = attempt.ID, attempt.Address
			answers = append(answers, answer)
		}
		delete(m.pending, attempt.Request)
	}
	return answers
}
