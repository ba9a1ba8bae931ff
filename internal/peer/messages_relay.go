package peer

import "lotusstile.dev/lotusstile/wire"

// This file has the messages of relayed heartbeats. Their fields must keep their names too, as messages.go explains.

// RelayArgs is the message form of HeartbeatBatch, which documents the fields.
type RelayArgs struct {
	From    string
	Term    uint64
	Reports []RelayedReport // HeartbeatBatch.Heartbeats
	Bodies  []byte
}

// RelayedReport is the message form of RelayedHeartbeat, which documents the fields.
type RelayedReport struct {
	Host        string
	Shift, Tick uint64 // RelayedHeartbeat.Incarnation, RelayedHeartbeat.Sequence
	Repeats     uint64 // RelayedHeartbeat.RepeatOf
	Size        int
	Pressure    uint8
}

func (b *HeartbeatBatch) message() RelayArgs {
	message := RelayArgs{From: b.From, Term: b.Term, Bodies: b.Bodies}
	for _, h := range b.Heartbeats {
		message.Reports = append(message.Reports, RelayedReport{
			Host:     h.Host,
			Shift:    h.Incarnation,
			Tick:     h.Sequence,
			Repeats:  h.RepeatOf,
			Size:     h.Size,
			Pressure: h.Pressure,
		})
	}
	return message
}

func (m *RelayArgs) batch() HeartbeatBatch {
	batch := HeartbeatBatch{From: m.From, Term: m.Term, Bodies: m.Bodies}
	for _, r := range m.Reports {
		batch.Heartbeats = append(batch.Heartbeats, RelayedHeartbeat{
			Host:        r.Host,
			Incarnation: r.Shift,
			Sequence:    r.Tick,
			RepeatOf:    r.Repeats,
			Size:        r.Size,
			Pressure:    r.Pressure,
		})
	}
	return batch
}

// RelayReply is the message form of HeartbeatBatchReply, which documents the fields.
type RelayReply struct {
	Term    uint64
	Leading bool
	Answers []RelayedAnswer
	Resend  []string
}

// RelayedAnswer is the message form of HeartbeatAnswer, which documents the fields.
type RelayedAnswer struct {
	Host        string
	Shift, Tick uint64 // HeartbeatAnswer.Incarnation, HeartbeatAnswer.Sequence
	Status      int
	Orders      OrdersMessage // HeartbeatAnswer.Response
	Redirect    RedirectMessage
}

// OrdersMessage is the message form of wire.Commands.
type OrdersMessage struct {
	Baton  uint64         // wire.Commands.FencingToken
	Orders []OrderMessage // wire.Commands.Commands
}

// OrderMessage is the message form of wire.Command.
type OrderMessage struct {
	Verb    wire.Verb
	Leg     string  // wire.Command.Task
	Try     uint64  // wire.Command.Attempt
	LeewayS float64 // wire.Command.GracePeriodS
}

// RedirectMessage is the message form of wire.Redirect. Dispatcher is wire.Redirect.Leader.
type RedirectMessage struct{ Dispatcher string }

func (r *HeartbeatBatchReply) message() RelayReply {
	message := RelayReply{Term: r.Term, Leading: r.Leading, Resend: r.Resend}
	for i := range r.Answers {
		message.Answers = append(message.Answers, r.Answers[i].message())
	}
	return message
}

func (m *RelayReply) reply() HeartbeatBatchReply {
	reply := HeartbeatBatchReply{Term: m.Term, Leading: m.Leading, Resend: m.Resend}
	for i := range m.Answers {
		reply.Answers = append(reply.Answers, m.Answers[i].answer())
	}
	return reply
}

func (a *HeartbeatAnswer) message() RelayedAnswer {
	message := RelayedAnswer{
		Host:     a.Host,
		Shift:    a.Incarnation,
		Tick:     a.Sequence,
		Status:   a.Status,
		Orders:   OrdersMessage{Baton: a.Response.FencingToken},
		Redirect: RedirectMessage{Dispatcher: a.Redirect.Leader},
	}
	for _, command := range a.Response.Commands {
		message.Orders.Orders = append(message.Orders.Orders, OrderMessage{
			Verb:    command.Verb,
			Leg:     command.Task,
			Try:     command.Attempt,
			LeewayS: command.GracePeriodS,
		})
	}
	return message
}

func (m *RelayedAnswer) answer() HeartbeatAnswer {
	answer := HeartbeatAnswer{
		Host:        m.Host,
		Incarnation: m.Shift,
		Sequence:    m.Tick,
		Status:      m.Status,
		Response:    wire.Commands{FencingToken: m.Orders.Baton},
		Redirect:    wire.Redirect{Leader: m.Redirect.Dispatcher},
	}
	for _, order := range m.Orders.Orders {
		answer.Response.Commands = append(answer.Response.Commands, wire.Command{
			Verb:         order.Verb,
			Task:         order.Leg,
			Attempt:      order.Try,
			GracePeriodS: order.LeewayS,
		})
	}
	return answer
}
