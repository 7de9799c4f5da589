package speed

import (
	"math"
	"time"

	"github.com/zeebo/errs"
)

// ErrBadMessage is the class of messages whose lists do not fit together.
var ErrBadMessage = errs.Class("bad message about speeds")

// The units of messages.
const (
	meanUnit   = 100
	weightUnit = 10
)

// Message is statements as they travel: a list for each field.
type Message struct {
	Scope                      Scope
	Processes                  []uint32
	MomentMeans, MadeMeans     []int32
	MomentWeights, MadeWeights []uint32
}

// NewMessage returns the message of statements that were formed just now.
func NewMessage(scope Scope, statements []Statement) *Message {
	m := &Message{Scope: scope}
	for _, s := range statements {
		moment, made := s.Evidence.moment, s.Evidence.made
		m.Processes = append(m.Processes, uint32(s.Key))
		m.MomentMeans = append(m.MomentMeans, int32(math.Round(moment.mean(0, 0)*meanUnit)))
		m.MomentWeights = append(m.MomentWeights, uint32(math.Round(moment.weight*weightUnit)))
		m.MadeMeans = append(m.MadeMeans, int32(math.Round(made.mean(0, 0)*meanUnit)))
		m.MadeWeights = append(m.MadeWeights, uint32(math.Round(made.weight*weightUnit)))
	}
	return m
}

// Statements returns the statements of a message that was received at a time.
func (m *Message) Statements(receivedAt time.Time) ([]Statement, error) {
	n := len(m.Processes)
	if len(m.MomentMeans) != n || len(m.MomentWeights) != n || len(m.MadeMeans) != n || len(m.MadeWeights) != n {
		return nil, ErrBadMessage.New("lists of different lengths")
	}
	if n > maxStatements || m.Scope < 0 || m.Scope >= scopes {
		return nil, ErrBadMessage.New("%d statements of scope %d", n, m.Scope)
	}
	statements := make([]Statement, n)
	for i, key := range m.Processes {
		statements[i] = Statement{Key: Key(key), Evidence: Evidence{
			moment: statedTally(m.MomentMeans[i], m.MomentWeights[i]), made: statedTally(m.MadeMeans[i], m.MadeWeights[i]), asOf: receivedAt,
		}}
	}
	return statements, nil
}

// statedTally reads a tally within the bounds of what an instance may state.
func statedTally(mean int32, weight uint32) tally {
	w := min(float64(weight)/weightUnit, maxStatedWeight)
	return tally{sum: clamp(float64(mean)/meanUnit, maxLog) * w, weight: w}
}
