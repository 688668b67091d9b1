package medlarplatformserver

import (
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlarplatform"
	"medlarwheel/standin/medlarprocess"
)

// dispatch answers a call that was admitted. Group is the path segment after v1, rest has the segments after it.
func (s *Server) dispatch(ctx *fasthttp.RequestCtx, group string, rest []string) {
	method := string(ctx.Method())
	switch {
	case group == "transact" && len(rest) == 0 && method == fasthttp.MethodPost:
		s.transact(ctx)
	case group == "operations" && len(rest) == 1 && method == fasthttp.MethodGet:
		respond(ctx)(s.store.Operation(medlarwheel.OperationID(rest[0])))
	case group == "rows" && len(rest) == 1 && method == fasthttp.MethodGet:
		respond(ctx)(s.store.Row(rest[0]))
	case group == "changes" && len(rest) == 0 && method == fasthttp.MethodGet:
		s.changes(ctx)
	case group == "objects" && len(rest) == 1:
		s.object(ctx, method, rest[0])
	case group == "instances" && len(rest) == 0 && method == fasthttp.MethodGet:
		s.instances(ctx)
	case group == "instances" && len(rest) == 2:
		s.updateRegistry(ctx, method, rest[0], rest[1])
	default:
		ctx.Error("no such path and method", fasthttp.StatusMethodNotAllowed)
	}
}

// respond returns a function that answers with a value or an error.
func respond(ctx *fasthttp.RequestCtx) func(value any, err error) {
	return func(value any, err error) {
		var conflict *medlarwheel.ConflictError
		switch {
		case err == nil:
			medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, value)
		case errors.As(err, &conflict):
			medlarprocess.WriteJSON(ctx, fasthttp.StatusConflict, conflict)
		case errors.Is(err, medlarwheel.ErrNotFound):
			medlarprocess.WriteError(ctx, fasthttp.StatusNotFound, err)
		case errors.Is(err, medlarwheel.ErrStale):
			medlarprocess.WriteError(ctx, fasthttp.StatusConflict, err)
		default:
			medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
		}
	}
}

func (s *Server) transact(ctx *fasthttp.RequestCtx) {
	t, err := medlarwheel.Decode[medlarplatform.Transaction](ctx.PostBody())
	if err != nil {
		medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	commit, err := s.store.Transact(t)
	if err != nil {
		s.counters.conflicts.Add(1)
	}
	if s.faults.shouldDropResponse() {
		s.counters.droppedResponses.Add(1)
		s.log.Info().Str("operation", string(t.Operation)).Msg("answer dropped")
		medlarprocess.CloseConnection(ctx)
		return
	}
	respond(ctx)(commit, err)
}

func (s *Server) changes(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	after, err := parseNumber(query.Peek("after"))
	if err != nil {
		medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	limit, err := parseNumber(query.Peek("limit"))
	if err != nil {
		medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	if limit == 0 || limit > medlarplatform.MaxPageRows {
		limit = medlarplatform.MaxPageRows
	}
	page := s.store.Changes(string(query.Peek("prefix")), medlarwheel.RowVersion(after), int(limit))
	medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, page)
}

func (s *Server) object(ctx *fasthttp.RequestCtx, method, name string) {
	switch method {
	case fasthttp.MethodPut:
		s.store.PutObject(name, ctx.PostBody())
	case fasthttp.MethodDelete:
		s.store.DeleteObject(name)
	case fasthttp.MethodGet:
		data, err := s.store.Object(name)
		if err != nil {
			respond(ctx)(nil, err)
			return
		}
		ctx.SetContentType("application/octet-stream")
		ctx.SetBody(data)
	default:
		ctx.Error("no such method", fasthttp.StatusMethodNotAllowed)
	}
}

func (s *Server) instances(ctx *fasthttp.RequestCtx) {
	after, err := parseNumber(ctx.QueryArgs().Peek("after"))
	if err != nil {
		medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	list := s.registry.List()
	if list.Version <= after {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, list)
}

func (s *Server) updateRegistry(ctx *fasthttp.RequestCtx, method, group, id string) {
	var err error
	switch {
	case group == "upstreams" && method == fasthttp.MethodPut:
		var u medlarwheel.Upstream
		if u, err = medlarwheel.Decode[medlarwheel.Upstream](ctx.PostBody()); err == nil && string(u.ID) == id {
			err = s.registry.PutUpstream(u)
		} else if err == nil {
			err = errIDMismatch
		}
	case group == "entries" && method == fasthttp.MethodPut:
		var e medlarwheel.EntryInstance
		if e, err = medlarwheel.Decode[medlarwheel.EntryInstance](ctx.PostBody()); err == nil && string(e.ID) == id {
			err = s.registry.PutEntry(e)
		} else if err == nil {
			err = errIDMismatch
		}
	case group == "upstreams" && method == fasthttp.MethodDelete:
		s.registry.RemoveUpstream(medlarwheel.UpstreamID(id))
	case group == "entries" && method == fasthttp.MethodDelete:
		s.registry.RemoveEntry(medlarwheel.InstanceID(id))
	default:
		err = errors.New("no such group of instances or method")
	}
	respond(ctx)(struct{}{}, err)
}

var errIDMismatch = errors.New("the body has another id than the path")

// parseNumber reads a whole number. A missing one is zero.
func parseNumber(text []byte) (uint64, error) {
	if len(text) == 0 {
		return 0, nil
	}
	return strconv.ParseUint(string(text), 10, 64)
}
