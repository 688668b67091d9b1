package medlarfake

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarplatform"
)

// Fake is a platform in memory with the methods of medlarplatform.Client. It is safe for concurrent use.
type Fake struct {
	// Store holds the table and the objects.
	Store *Store
	// Registry holds the instances.
	Registry *InstanceRegistry

	mu              sync.Mutex
	unavailable     bool
	responsesToDrop int
	calls           int
}

// New returns an empty platform whose list has no lag.
func New(clock medlarwheel.Clock) *Fake {
	return &Fake{Store: NewStore(), Registry: NewInstanceRegistry(clock, 0)}
}

// SetUnavailable starts or ends an outage, in which every call fails without effect.
func (f *Fake) SetUnavailable(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = down
}

// DropResponses makes the next n transactions report an unknown result although they are executed.
func (f *Fake) DropResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responsesToDrop = n
}

// Calls returns the number of calls made so far.
func (f *Fake) Calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

var (
	errUnavailable  = errors.New("platform is down")
	errResponseLost = errors.New("answer lost")
)

// startCall counts a call and fails it during an outage or after the end of its context.
func (f *Fake) startCall(ctx context.Context, step string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	cause := ctx.Err()
	if f.unavailable {
		cause = errUnavailable
	}
	if cause == nil {
		return nil
	}
	return medlarwheel.WithOperation(step, "fake", &medlarplatform.UnavailableError{Effect: medlarplatform.EffectNone, Cause: cause})
}

// Transact is like the method of medlarplatform.Client.
func (f *Fake) Transact(ctx context.Context, op medlarwheel.OperationID, writes []medlarwheel.Write,
) (medlarwheel.Commit, error) {
	if err := f.startCall(ctx, "transact"); err != nil {
		return medlarwheel.Commit{}, err
	}
	commit, err := f.Store.Transact(medlarplatform.Transaction{Operation: op, Writes: writes})
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.responsesToDrop > 0 {
		f.responsesToDrop--
		lost := &medlarplatform.UnavailableError{Effect: medlarplatform.EffectUnknown, Cause: errResponseLost}
		return medlarwheel.Commit{}, medlarwheel.WithOperation("transact", "fake", lost)
	}
	return commit, err
}

// Row is like the method of medlarplatform.Client.
func (f *Fake) Row(ctx context.Context, key string) (medlarwheel.Row, error) {
	if err := f.startCall(ctx, "row"); err != nil {
		return medlarwheel.Row{}, err
	}
	row, err := f.Store.Row(key)
	return row, medlarwheel.WithOperation("row", "fake", err)
}

// Changes is like the method of medlarplatform.Client.
func (f *Fake) Changes(ctx context.Context, prefix string, after medlarwheel.RowVersion, limit int,
) (medlarwheel.ChangePage, error) {
	if err := f.startCall(ctx, "changes"); err != nil {
		return medlarwheel.ChangePage{}, err
	}
	return f.Store.Changes(prefix, after, limit), nil
}

// PutObject is like the method of medlarplatform.Client.
func (f *Fake) PutObject(ctx context.Context, name string, data []byte) error {
	return f.change(ctx, "put-object", func() error { f.Store.PutObject(name, data); return nil })
}

// Object is like the method of medlarplatform.Client.
func (f *Fake) Object(ctx context.Context, name string) ([]byte, error) {
	if err := f.startCall(ctx, "object"); err != nil {
		return nil, err
	}
	data, err := f.Store.Object(name)
	return data, medlarwheel.WithOperation("object", "fake", err)
}

// DeleteObject is like the method of medlarplatform.Client.
func (f *Fake) DeleteObject(ctx context.Context, name string) error {
	return f.change(ctx, "delete-object", func() error { f.Store.DeleteObject(name); return nil })
}

// Instances is like the method of medlarplatform.Client.
func (f *Fake) Instances(ctx context.Context, after uint64) (medlarwheel.InstanceList, bool, error) {
	if err := f.startCall(ctx, "instances"); err != nil {
		return medlarwheel.InstanceList{}, false, err
	}
	list := f.Registry.List()
	if list.Version <= after {
		return medlarwheel.InstanceList{}, false, nil
	}
	return list, true, nil
}

// RegisterEntry is like the method of medlarplatform.Client.
func (f *Fake) RegisterEntry(ctx context.Context, entry medlarwheel.EntryInstance) error {
	return f.change(ctx, "register", func() error { return f.Registry.PutEntry(entry) })
}

// RegisterUpstream is like the method of medlarplatform.Client.
func (f *Fake) RegisterUpstream(ctx context.Context, upstream medlarwheel.Upstream) error {
	return f.change(ctx, "register", func() error { return f.Registry.PutUpstream(upstream) })
}

// RemoveEntry is like the method of medlarplatform.Client.
func (f *Fake) RemoveEntry(ctx context.Context, id medlarwheel.InstanceID) error {
	return f.change(ctx, "remove-entry", func() error { f.Registry.RemoveEntry(id); return nil })
}

// RemoveUpstream is like the method of medlarplatform.Client.
func (f *Fake) RemoveUpstream(ctx context.Context, id medlarwheel.UpstreamID) error {
	return f.change(ctx, "remove-upstream", func() error { f.Registry.RemoveUpstream(id); return nil })
}

func (f *Fake) change(ctx context.Context, step string, effect func() error) error {
	if err := f.startCall(ctx, step); err != nil {
		return err
	}
	return medlarwheel.WithOperation(step, "fake", effect())
}
