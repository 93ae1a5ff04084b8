// Package admin serves the operators' API of a router.
package admin

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"

	adminv1 "github.com/lavendershunt/lavendershunt/api/ls/admin/v1"
	"github.com/lavendershunt/lavendershunt/api/ls/admin/v1/adminv1connect"
	"github.com/lavendershunt/lavendershunt/pkg/budget"
	"github.com/lavendershunt/lavendershunt/pkg/config"
	"github.com/lavendershunt/lavendershunt/pkg/journal"
	"github.com/lavendershunt/lavendershunt/pkg/member"
	"github.com/lavendershunt/lavendershunt/pkg/platform"
	"github.com/lavendershunt/lavendershunt/pkg/withdraw"
)

// MaxRequestBytes is the largest size of an admin request.
const MaxRequestBytes = 256 << 10

// VMList is the last received VM list.
type VMList struct {
	VMs []platform.VM
	// ReadAt is the time at which the list was received; zero if none was.
	ReadAt time.Time
}

// Deps are the dependencies of a Server. Fields are required unless their comment says otherwise.
type Deps struct {
	Platform platform.Store
	Config   *config.Store
	// ConfigAge returns the time since the platform last confirmed the configuration; negative if it never did. It may
	// be nil.
	ConfigAge func() time.Duration
	// Publish sends accepted configuration changes to the other routers.
	Publish func([]config.Entry)
	Ledger  budget.Ledger
	Members member.View
	// VMs returns the last received VM list.
	VMs func() VMList
	// Drains returns the withdrawals that this router performs itself. It may be nil.
	Drains func() []withdraw.Progress
	// HeldInstances lists and closes instances whose tokens stay held; nil if this router has no access to them.
	HeldInstances HeldInstances
	// WitnessStatus returns the witnesses of this router's journal, or false if they are not known. It may be nil.
	WitnessStatus func() (journal.WitnessStatus, bool)
	// OperatorKeys are SHA-256 hashes of operator keys from the settings.
	OperatorKeys []string
	Now          func() time.Time
	Log          log.Interface
}

// Server implements the AdminService.
type Server struct {
	adminv1connect.UnimplementedAdminServiceHandler
	deps   Deps
	writer *config.Writer
}

// NewServer returns a Server that writes configuration changes to the platform and publishes them.
func NewServer(deps Deps) *Server {
	return &Server{deps: deps, writer: config.NewWriter(deps.Platform, deps.Config, deps.Publish)}
}

// Handler returns the path and the HTTP handler of the service. It refuses calls without a valid operator key.
func (s *Server) Handler() (string, http.Handler) {
	return adminv1connect.NewAdminServiceHandler(s,
		connect.WithInterceptors(connect.UnaryInterceptorFunc(s.authorize)),
		connect.WithReadMaxBytes(MaxRequestBytes))
}

// authorize refuses calls without a valid operator key.
func (s *Server) authorize(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		text, found := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
		if !found || !s.isOperator(HashKey(text)) {
			return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("a valid operator key is required"))
		}
		return next(ctx, req)
	}
}

func (s *Server) isOperator(hash string) bool {
	for _, known := range s.deps.OperatorKeys {
		if known == hash {
			return true
		}
	}
	key, ok := s.deps.Config.Key(hash)
	return ok && key.Operator
}

// toConnectError converts errors of the platform and of configuration writes to connect errors.
func toConnectError(err error) error {
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &conflict):
		return conflictError(conflict)
	case errors.Is(err, config.ErrInvalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, config.ErrUncertain), errors.Is(err, platform.ErrUncertain):
		return connect.NewError(connect.CodeUnknown, err)
	case errors.Is(err, platform.ErrNotFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, platform.ErrThrottled):
		return connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

// conflictError returns a connect error with the current object, if there is one, as a detail.
func conflictError(conflict *config.ConflictError) error {
	err := connect.NewError(connect.CodeAborted, conflict)
	message := &adminv1.Conflict{}
	if conflict.Current != nil {
		message.Current = objectOf(*conflict.Current)
	}
	if detail, detailErr := connect.NewErrorDetail(message); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}
