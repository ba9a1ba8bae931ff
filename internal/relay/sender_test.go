package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/timeralign"
	"lotusstile.dev/lotusstile/wire"
)

// testSender returns a sender that sends a batch every 250 ms.
func testSender(exchange ExchangeFunc) *Sender {
	const unit = 250 * time.Millisecond
	return NewSender(SenderConfig{
		Label:         "n1",
		Exchange:      exchange,
		Grid:          timeralign.Grid{Unit: unit},
		Period:        unit,
		AnswerTimeout: 3 * time.Second,
		Observe:       func(DeliveryKind, int) {},
	})
}

// pendingOf returns a heartbeat as a pendingHeartbeat.
func pendingOf(h *wire.Heartbeat) *pendingHeartbeat {
	body, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	return &pendingHeartbeat{heartbeat: h, body: body, result: make(chan result, 1)}
}

// okAnswer returns the answer to a heartbeat, with status 200.
func okAnswer(h *wire.Heartbeat) peer.HeartbeatAnswer {
	return peer.HeartbeatAnswer{Host: h.Host, Incarnation: h.Incarnation, Sequence: h.Sequence, Status: http.StatusOK}
}

// answerOK is an AnswerFunc that answers each heartbeat with status 200 at once.
func answerOK(_ context.Context, h *wire.Heartbeat, _ string, _ Pressure) peer.HeartbeatAnswer {
	return okAnswer(h)
}
