// Package forwarding has a peer carry out the attempts of an instance at targets that it
// does not reach itself. The instance decides everything about a request as ever; the peer sends
// one attempt to the target that the instance has chosen, over its own connections, and
// returns what the target answers. A peer never passes an attempt on.
package forwarding

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"heatherrelay/internal/crash"
	"heatherrelay/internal/deployment"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/liveness"
	"heatherrelay/internal/memory"
	"heatherrelay/internal/requestbody"
	"heatherrelay/internal/upstream"
)

const (
	// maxForwarded bounds the attempts that an instance carries out for its peers at the
	// same time, maxForwardedBytes the bodies of their requests.
	maxForwarded      = 256
	maxForwardedBytes = 16 << 20
	// maxMessageBytes bounds a request of a peer: the largest body of a client and its head.
	maxMessageBytes = 9 << 20
	// bodyChunkBytes is the most of a body that one message holds.
	bodyChunkBytes = 16 << 10
	// memoryPatience is how long a request of a peer waits for memory.
	memoryPatience = 300 * time.Millisecond
	// probeTimeout bounds the connection attempt of a probe.
	probeTimeout = 400 * time.Millisecond
)

// Server carries out attempts for peers. Set the exported fields before the first call.
type Server struct {
	// Direct sends the attempts.
	Direct *Direct
	// Target returns a listed target, and false if it is not listed.
	Target func(id deployment.TargetID) (deployment.Target, bool)
	// Availability is told what targets state, and knows which take no requests.
	Availability *upstream.Availability
	// Blocked reports whether a request with the given possible causes is blocked since it
	// crashes targets.
	Blocked func(possibleCauses []string) bool
	// Unable returns why this instance carries out no attempts at present; empty if it
	// does.
	Unable func() string
	// Cut reports whether the path from this instance to a target is cut.
	Cut func(deployment.Target) bool
	// Memory is charged for the requests; nil means no bound.
	Memory *memory.Account
	Log    *zap.Logger

	inFlight, bodyBytes atomic.Int64
}

// Handler returns the path and the handler of the protocol. A request is read to its end
// before it is handled: until then the HTTP library does not notice that the instance has
// ended it, and the target would work on.
func (s *Server) Handler() (string, http.Handler) {
	path, handler := heatherrelayv1connect.NewForwardServiceHandler(s)
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		message, charge, err := s.readMessage(w, r)
		defer charge.Close()
		switch {
		case memory.ErrShort.Has(err) && r.URL.Path == heatherrelayv1connect.ForwardServiceForwardProcedure:
			r = r.WithContext(context.WithValue(r.Context(), declinedKey{}, err.Error()))
			message = emptyMessage
		case err != nil:
			s.Log.Info("request of a peer cannot be read", zap.String("peer", r.RemoteAddr), zap.Error(err))
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(message))
		handler.ServeHTTP(w, r)
	})
}

// declinedKey is the key of a context that holds why a request was not read.
type declinedKey struct{}

// emptyMessage stands for a request that was not read, in the framing of the protocol: no
// flags, and a length of zero.
var emptyMessage = []byte{0, 0, 0, 0, 0}

// readMessage reads a request of a peer. Its memory, and that of the copy that decoding it
// makes, is charged until the request has been handled. If there is none, the request is
// discarded, so that the peer reads why.
func (s *Server) readMessage(w http.ResponseWriter, r *http.Request) ([]byte, *memory.Charge, error) {
	control := http.NewResponseController(w)
	// Without an address the peers share one, and a deadline that cannot be set concerns a
	// connection that is closed.
	peer, _ := netip.ParseAddrPort(r.RemoteAddr)
	charge := s.Memory.Open(memory.Owner{Address: peer.Addr()}, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	reader := &requestbody.Reader{
		Stream: r.Body, Length: int(r.ContentLength), MaxBytes: maxMessageBytes, Charge: charge, Patience: memoryPatience,
		SetDeadline: func(time.Time) error { return nil }, Now: time.Now,
	}
	message, err := reader.Read()
	if err == nil {
		err = charge.Grow(int64(len(message)), memoryPatience)
	}
	if memory.ErrShort.Has(err) {
		s.Log.Info("request of a peer declined for want of memory", zap.String("peer", r.RemoteAddr), zap.Error(err))
		if _, e := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxMessageBytes)); e != nil {
			return nil, charge, e
		}
	}
	return message, charge, err
}

// InFlight returns the number of attempts that are being carried out.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Forward carries out one attempt and streams the response.
func (s *Server) Forward(ctx context.Context, m *v1.ForwardRequest, stream *connect.ServerStream[v1.ForwardResponse]) error {
	if reason, declined := ctx.Value(declinedKey{}).(string); declined {
		return sendEnd(stream, v1.ForwardEnd_RESULT_DECLINED, reason)
	}
	size := int64(len(m.GetBody()))
	defer s.inFlight.Add(-1)
	defer s.bodyBytes.Add(-size)
	busy := s.inFlight.Add(1) > maxForwarded
	if busy = s.bodyBytes.Add(size) > maxForwardedBytes || busy; busy {
		return sendEnd(stream, v1.ForwardEnd_RESULT_DECLINED, "busy")
	}
	target, reason := s.check(m)
	if reason != "" {
		return sendEnd(stream, v1.ForwardEnd_RESULT_DECLINED, reason)
	}
	request, attempt := attemptFrom(m)
	// The bound ends an attempt whose instance is suspended.
	ctx, cancel := context.WithTimeout(ctx, attempt.Deadline)
	defer cancel()
	response, err := s.Direct.Do(ctx, target, request, attempt)
	if err != nil {
		return s.sendError(stream, target, err)
	}
	defer response.Close()
	s.Availability.Observe(target, &response.ResponseHead)
	if err := stream.Send(&v1.ForwardResponse{Event: &v1.ForwardResponse_Head{Head: headMessage(&response.ResponseHead)}}); err != nil {
		return err
	}
	return s.sendBody(stream, response)
}

// check returns the target of an attempt, or why the attempt is not made.
func (s *Server) check(m *v1.ForwardRequest) (deployment.Target, string) {
	if reason := s.Unable(); reason != "" {
		return deployment.Target{}, reason
	}
	target, ok := s.Target(deployment.TargetID(m.GetTargetId()))
	switch {
	case !ok || target.Generation != m.GetGeneration():
		return target, "target not listed"
	case target.Draining || !s.Availability.Available(target):
		return target, "target takes no requests"
	case s.Cut(target):
		return target, "cut off"
	case s.Blocked(m.GetPossibleCauses()):
		return target, "request crashes targets"
	}
	return target, ""
}

// sendError reports an attempt without a response.
func (s *Server) sendError(stream *connect.ServerStream[v1.ForwardResponse], target deployment.Target, err error) error {
	s.Log.Debug("forwarded attempt failed", zap.String("target", string(target.ID)), zap.Error(err))
	switch {
	case errNoRoom.Has(err), errWithheld.Has(err):
		return sendEnd(stream, v1.ForwardEnd_RESULT_DECLINED, err.Error())
	case upstream.ErrOtherProcess.Has(err):
		return sendEnd(stream, v1.ForwardEnd_RESULT_OTHER_PROCESS, err.Error())
	case upstream.ErrUnidentified.Has(err):
		return sendEnd(stream, v1.ForwardEnd_RESULT_UNIDENTIFIED, err.Error())
	case !upstream.ErrNotSent.Has(err):
		return sendEnd(stream, incompleteResult(err), err.Error())
	case errors.Is(err, syscall.ECONNREFUSED):
		return sendEnd(stream, v1.ForwardEnd_RESULT_REFUSED, err.Error())
	}
	return sendEnd(stream, v1.ForwardEnd_RESULT_NOT_SENT, err.Error())
}

func incompleteResult(err error) v1.ForwardEnd_Result {
	switch {
	case liveness.ErrUndecided.Has(err):
		return v1.ForwardEnd_RESULT_UNDECIDED
	case crash.EndedByTarget(err):
		return v1.ForwardEnd_RESULT_ENDED_BY_TARGET
	}
	return v1.ForwardEnd_RESULT_INCOMPLETE
}

// sendBody streams the body as it arrives, and how it ended.
func (s *Server) sendBody(stream *connect.ServerStream[v1.ForwardResponse], response *upstream.Response) error {
	buffer := make([]byte, bodyChunkBytes)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			if err := stream.Send(&v1.ForwardResponse{Event: &v1.ForwardResponse_Body{Body: buffer[:n]}}); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return sendEnd(stream, v1.ForwardEnd_RESULT_COMPLETE, "")
		default:
			return sendEnd(stream, incompleteResult(err), err.Error())
		}
	}
}

func sendEnd(stream *connect.ServerStream[v1.ForwardResponse], result v1.ForwardEnd_Result, reason string) error {
	return stream.Send(&v1.ForwardResponse{Event: &v1.ForwardResponse_End{End: &v1.ForwardEnd{Result: result, Reason: reason, EndChecked: true}}})
}

// ProbeTarget opens a connection to a target.
func (s *Server) ProbeTarget(ctx context.Context, m *v1.ProbeTargetRequest) (*v1.ProbeTargetResponse, error) {
	target, ok := s.Target(deployment.TargetID(m.GetTargetId()))
	if !ok {
		return &v1.ProbeTargetResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return &v1.ProbeTargetResponse{Connected: s.Direct.Upstream.Probe(ctx, target.Address) == nil}, nil
}
