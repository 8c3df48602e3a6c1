// Package sillmemobject keeps the objects of the object store in memory. The
// platform stand-in serves them; tests use them directly and bring faults about.
package sillmemobject

import (
	"context"
	"sync"

	"github.com/wasabisill/wasabisill/internal/sillobject"
)

// Objects is an object store in memory. The zero Objects is empty and ready to use.
type Objects struct {
	// Fault is asked before every call ("get", "put") and again as "put-answer"
	// after an object was written; an error that it returns becomes the answer.
	// It may block. It may be nil.
	Fault func(ctx context.Context, call string) error

	mu      sync.Mutex
	objects map[string][]byte
}

// Store returns the objects behind the interface of their client.
func (o *Objects) Store() *sillobject.Store {
	return &sillobject.Store{Get: o.get, PutNew: o.putNew}
}

func (o *Objects) fault(ctx context.Context, call string) error {
	if o.Fault == nil {
		return nil
	}
	return o.Fault(ctx, call)
}

func (o *Objects) get(ctx context.Context, name string) ([]byte, error) {
	if err := o.fault(ctx, "get"); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.objects[name]
	if !ok {
		return nil, sillobject.ErrNotFound
	}
	return append([]byte(nil), data...), nil
}

func (o *Objects) putNew(ctx context.Context, name string, data []byte) error {
	if err := o.fault(ctx, "put"); err != nil {
		return err
	}
	if !o.add(name, data) {
		return sillobject.ErrExists
	}
	return o.fault(ctx, "put-answer")
}

func (o *Objects) add(name string, data []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, taken := o.objects[name]; taken {
		return false
	}
	if o.objects == nil {
		o.objects = make(map[string][]byte)
	}
	o.objects[name] = append([]byte(nil), data...)
	return true
}
