package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"hazelwheel/internal/decide/stages"
	"hazelwheel/internal/message"
)

type orderBody struct {
	Op         string        `json:"Op"`
	Stage      message.Stage `json:"Stage"`
	Holder     string        `json:"Holder"`
	FenceToken uint64        `json:"FenceToken"`
}

// order sends one order. An order without an answer may have been taken and counts as such.
func (s *stageController) sendOrder(ctx context.Context, order stages.StageChange) {
	if !s.lease.CanAct(s.now()) {
		s.planner.HandleRejected(order)
		return
	}
	body, err := json.Marshal(orderBody{stageOrderOp, order.Stage, s.control.settings.NodeID, s.lease.Token()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Instance.Address+"/order", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", jsonType)
	request.Header.Set("Hazelwheel-Expect-Instance", order.Instance.ID)
	// Danger: the library must not send an order again by itself.
	request.GetBody = nil
	response, err := s.httpClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes))
	s.control.log.WithField("server", order.Instance.ID).WithField("stage", order.Stage).WithField("status", response.StatusCode).Info("order")
	switch response.StatusCode {
	case http.StatusAccepted, http.StatusOK:
	case http.StatusPreconditionFailed:
		s.lease.Resign()
		s.planner.HandleRejected(order)
	default:
		s.planner.HandleRejected(order)
	}
}
