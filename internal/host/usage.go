package host

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/usage"
)

// askUsage asks another host for its counts.
func (c *peerCalls) askUsage(ctx context.Context, h usage.Host, windows []usage.Span) (usage.Answer, error) {
	client, err := c.pool.Client(h.Address)
	if err != nil {
		return usage.Answer{}, err
	}
	req := &peerpb.UsageRequest{Incarnation: h.Incarnation}
	for _, w := range windows {
		req.Windows = append(req.Windows, &peerpb.UsageWindow{Window: w.Window, FromUs: w.From.Microseconds(), ToUs: w.To.Microseconds()})
	}
	resp, err := client.Usage(ctx, req)
	if err != nil {
		return usage.Answer{}, err
	}
	a := usage.Answer{
		Incarnation: resp.GetIncarnation(), Clock: fromMicroseconds(resp.GetClockUs()), TimeOfDay: fromMicroseconds(resp.GetTimeOfDayUs()),
	}
	for _, w := range resp.GetWindows() {
		a.Windows = append(a.Windows, usage.WindowAnswer{Window: w.GetWindow(), Complete: w.GetComplete(), Requests: w.GetRequests()})
	}
	return a, nil
}

func fromMicroseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Usage answers the host that reports usage.
func (a peerAPI) Usage(_ context.Context, req *peerpb.UsageRequest) (*peerpb.UsageResponse, error) {
	if a.usage == nil {
		return nil, status.Error(codes.Unimplemented, "usage is not reported")
	}
	windows := make([]usage.Span, 0, len(req.GetWindows()))
	for _, w := range req.GetWindows() {
		windows = append(windows, usage.Span{Window: w.GetWindow(), From: fromMicroseconds(w.GetFromUs()), To: fromMicroseconds(w.GetToUs())})
	}
	answer := a.usage.Answer(req.GetIncarnation(), windows)
	resp := &peerpb.UsageResponse{
		Incarnation: answer.Incarnation, ClockUs: answer.Clock.Microseconds(), TimeOfDayUs: answer.TimeOfDay.Microseconds(),
	}
	for _, w := range answer.Windows {
		resp.Windows = append(resp.Windows, &peerpb.UsageCounts{Window: w.Window, Complete: w.Complete, Requests: w.Requests})
	}
	return resp, nil
}
