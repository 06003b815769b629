package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"hazelwheel/internal/decide/stages"
	"hazelwheel/internal/message"
)

const (
	// orderTimeout bounds one order.
	orderTimeout = 800 * time.Millisecond
	// maxReplyBytes bounds what is read of a server's response.
	maxReplyBytes = 64 << 10
	// stageOrderOp is the operation of an orderBody that changes the stage.
	stageOrderOp = "Stage"
)

// orderBody is the JSON body of an order to a model server. A server rejects an order whose token is below one that it has seen.
type orderBody struct {
	Op           string        `json:"Op"`
	Stage        message.Stage `json:"Stage"`
	LeaseHolder  string        `json:"Holder"`
	FencingToken uint64        `json:"FenceToken"`
}

// sendOrder sends one order, without retries. An order without a response may have been executed, and counts as executed. Status 412 means
// that the server has seen a higher token: the lease is lost.
func (s *stageController) sendOrder(ctx context.Context, change stages.StageChange) {
	if !s.lease.canAct() {
		s.planner.HandleRejected(change)
		return
	}
	body, err := json.Marshal(orderBody{stageOrderOp, change.Stage, s.control.settings.NodeID, s.lease.token()})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+change.Instance.Address+"/order", bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", jsonType)
	request.Header.Set("Hazelwheel-Expect-Instance", change.Instance.ID)
	// Danger: net/http must not retry an order by itself.
	request.GetBody = nil
	response, err := s.httpClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()                             // only the status is used
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes)) // so that the connection can be reused
	s.control.log.WithFields(logrus.Fields{"server": change.Instance.ID, "stage": change.Stage, "status": response.StatusCode}).Info("stage order answered")
	switch response.StatusCode {
	case http.StatusAccepted, http.StatusOK:
	case http.StatusPreconditionFailed:
		s.lease.resign()
		s.planner.HandleRejected(change)
	default:
		s.planner.HandleRejected(change)
	}
}
