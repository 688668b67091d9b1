package medlarentry

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlarconfig"
	"medlarwheel/medlaroperator"
)

const (
	// maxWatchWait bounds the time that a watch waits for a change.
	maxWatchWait = time.Minute
	// operatorTimeout bounds the work behind one operator command.
	operatorTimeout = 8 * time.Second
	contentTypeJSON = "application/json"
)

// operatorRoute is one path of the operator interface. A path that ends with a slash takes a name.
type operatorRoute struct {
	method string
	path   string
	handle func(d *Daemon, ctx *fasthttp.RequestCtx, name string)
}

func operatorRoutes() []operatorRoute {
	return append(jobRoutes(), []operatorRoute{
		{fasthttp.MethodGet, medlaroperator.PathTemplates, listItems("template/")},
		{fasthttp.MethodGet, medlaroperator.PathTemplates + "/", showItem("template/")},
		{fasthttp.MethodPut, medlaroperator.PathTemplates + "/", (*Daemon).putTemplate},
		{fasthttp.MethodDelete, medlaroperator.PathTemplates + "/", withdrawItem("template/")},
		{fasthttp.MethodGet, medlaroperator.PathAccounts, listItems("account/")},
		{fasthttp.MethodGet, medlaroperator.PathAccounts + "/", showItem("account/")},
		{fasthttp.MethodPut, medlaroperator.PathAccounts + "/", (*Daemon).putAccount},
		{fasthttp.MethodDelete, medlaroperator.PathAccounts + "/", withdrawItem("account/")},
		{fasthttp.MethodGet, medlaroperator.PathWatch, (*Daemon).watch},
		{fasthttp.MethodGet, medlaroperator.PathMembers, (*Daemon).listMembers},
		{fasthttp.MethodGet, medlaroperator.PathUpstreams, (*Daemon).listUpstreams},
		{fasthttp.MethodPost, medlaroperator.PathDrain, (*Daemon).drain},
		{fasthttp.MethodGet, medlaroperator.PathMetrics, (*Daemon).writeMetrics},
		burnRateRoute(),
	}...)
}

// handleOperator serves one operator command.
func (d *Daemon) handleOperator(ctx *fasthttp.RequestCtx) {
	if !d.isOperator(ctx) {
		writeError(ctx, &medlaroperator.Error{Code: medlaroperator.CodeForbidden, Message: "the operator key is missing or wrong"})
		return
	}
	path, method := string(ctx.Path()), string(ctx.Method())
	for _, r := range d.operatorRoutes {
		if r.method != method {
			continue
		}
		if r.path == path {
			r.handle(d, ctx, "")
			return
		}
		if name, ok := strings.CutPrefix(path, r.path); ok && strings.HasSuffix(r.path, "/") && name != "" {
			r.handle(d, ctx, unescape(name))
			return
		}
	}
	writeError(ctx, &medlaroperator.Error{Code: medlaroperator.CodeNotFound, Message: "no such path: " + method + " " + path})
}

func unescape(name string) string {
	if plain, err := url.PathUnescape(name); err == nil {
		return plain
	}
	return name
}

// isOperator reports whether the caller has the operator key. Without a configured key every caller is an operator.
func (d *Daemon) isOperator(ctx *fasthttp.RequestCtx) bool {
	key := medlarwheel.SecretKey(d.settings.OperatorKey)
	return key == "" || key.Matches(ctx.Request.Header.Peek(medlaroperator.HeaderOperatorKey))
}

func listItems(prefix string) func(*Daemon, *fasthttp.RequestCtx, string) {
	return func(d *Daemon, ctx *fasthttp.RequestCtx, _ string) {
		book := d.snapshot.Load().config
		list := medlaroperator.ConfigList{Version: book.Version(), Items: []medlarwheel.ConfigItem{}}
		for _, item := range book.Items() {
			if strings.HasPrefix(item.Key, prefix) {
				list.Items = append(list.Items, item)
			}
		}
		writeJSON(ctx, list)
	}
}

func showItem(prefix string) func(*Daemon, *fasthttp.RequestCtx, string) {
	return func(d *Daemon, ctx *fasthttp.RequestCtx, name string) {
		item, ok := d.snapshot.Load().config.Item(prefix + name)
		if !ok || item.Withdrawn {
			writeError(ctx, &medlaroperator.Error{Code: medlaroperator.CodeNotFound, Message: prefix + name + " does not exist"})
			return
		}
		writeJSON(ctx, item)
	}
}

func (d *Daemon) putTemplate(ctx *fasthttp.RequestCtx, name string) {
	t, err := medlarwheel.DecodeTemplate(ctx.PostBody())
	if err == nil && string(t.Name) != name {
		err = medlarwheel.Faults{{Path: "name", Value: string(t.Name), Accepted: name}}
	}
	if err != nil {
		writeError(ctx, operatorError(err))
		return
	}
	d.publishChange(ctx, medlarconfig.Change{Key: medlarwheel.TemplateKey(t.Name), Template: &t})
}

func (d *Daemon) putAccount(ctx *fasthttp.RequestCtx, name string) {
	a, err := medlarwheel.DecodeAccount(ctx.PostBody())
	if err == nil && string(a.ID) != name {
		err = medlarwheel.Faults{{Path: "id", Value: string(a.ID), Accepted: name}}
	}
	if err != nil {
		writeError(ctx, operatorError(err))
		return
	}
	d.publishChange(ctx, medlarconfig.Change{Key: medlarwheel.AccountKey(a.ID), Account: &a})
}

func withdrawItem(prefix string) func(*Daemon, *fasthttp.RequestCtx, string) {
	return func(d *Daemon, ctx *fasthttp.RequestCtx, name string) {
		d.publishChange(ctx, medlarconfig.Change{Key: prefix + name, Withdrawn: true})
	}
}

func (d *Daemon) publishChange(ctx *fasthttp.RequestCtx, change medlarconfig.Change) {
	expected, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("expected")), 10, 64)
	if err != nil {
		writeError(ctx, operatorError(medlarwheel.Faults{{Path: "expected", Value: string(ctx.QueryArgs().Peek("expected")), Accepted: "a version; 0 for a new entry"}}))
		return
	}
	change.ExpectedVersion = medlarwheel.ConfigVersion(expected)
	change.Author = medlarwheel.Author(ctx.Request.Header.Peek(medlaroperator.HeaderAuthor))
	limited, cancel := context.WithTimeout(d.baseCtx, operatorTimeout)
	defer cancel()
	version, err := d.publish(limited, change)
	if err != nil {
		writeError(ctx, operatorError(err))
		return
	}
	d.log.Info().Str("event", "config-published").Str("key", change.Key).Uint64("version", uint64(version)).
		Str("author", string(change.Author)).Send()
	writeJSON(ctx, medlaroperator.WriteResult{Key: change.Key, Version: version})
}

// watch waits for a configuration change after a version.
func (d *Daemon) watch(ctx *fasthttp.RequestCtx, _ string) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		writeError(ctx, operatorError(medlarwheel.Faults{{Path: "after", Value: string(ctx.QueryArgs().Peek("after")), Accepted: "a version"}}))
		return
	}
	wait, err := time.ParseDuration(string(ctx.QueryArgs().Peek("wait")))
	if err != nil || wait < 0 || wait > maxWatchWait {
		writeError(ctx, operatorError(medlarwheel.Faults{{Path: "wait", Value: string(ctx.QueryArgs().Peek("wait")), Accepted: "a duration from 0s to " + maxWatchWait.String()}}))
		return
	}
	limited, cancel := context.WithTimeout(d.baseCtx, wait)
	defer cancel()
	writeJSON(ctx, d.awaitConfig(limited, medlarwheel.ConfigVersion(after)))
}

func (d *Daemon) drain(ctx *fasthttp.RequestCtx, _ string) {
	d.requestStop()
	writeJSON(ctx, struct{}{})
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeError(ctx, &medlaroperator.Error{Code: medlaroperator.CodeInternal, Message: err.Error()})
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(data)
}

func writeError(ctx *fasthttp.RequestCtx, failure *medlaroperator.Error) {
	data, err := json.Marshal(failure)
	if err != nil {
		data = nil
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetStatusCode(errorStatusCode(failure.Code))
	ctx.SetBody(data)
}

func errorStatusCode(code medlaroperator.Code) int {
	switch code {
	case medlaroperator.CodeBadInput:
		return fasthttp.StatusBadRequest
	case medlaroperator.CodeConflict:
		return fasthttp.StatusConflict
	case medlaroperator.CodeNotFound:
		return fasthttp.StatusNotFound
	case medlaroperator.CodeForbidden:
		return fasthttp.StatusForbidden
	case medlaroperator.CodeUnavailable:
		return fasthttp.StatusServiceUnavailable
	case medlaroperator.CodeOutcomeUnknown:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusInternalServerError
	}
}

// operatorError turns an error of the control path into one that an operator sees.
func operatorError(err error) *medlaroperator.Error {
	var faults medlarwheel.Faults
	if errors.As(err, &faults) {
		return &medlaroperator.Error{Code: medlaroperator.CodeBadInput, Message: "the input is not accepted", Faults: faults}
	}
	var conflict *medlarconfig.VersionConflict
	if errors.As(err, &conflict) {
		return &medlaroperator.Error{Code: medlaroperator.CodeConflict, Message: conflict.Error(), Conflict: conflict}
	}
	return platformError(err)
}
