package core

import (
	"time"

	"gingertally/internal/core/fleet"
)

// PutImagePage writes a page of the image log. Only the leader writes these pages, one after the
// other, so it has no version.
type PutImagePage struct {
	Name   string
	Record fleet.ImageRecord
}

// Kind implements Write.
func (PutImagePage) Kind() string { return "put image page" }

// Target implements Write.
func (w PutImagePage) Target() string { return w.Name }

// JobRef implements Write.
func (PutImagePage) JobRef() string { return "" }

// Encode implements Write.
func (w PutImagePage) Encode(encoder WriteEncoder) error { return encoder.PutImagePage(w) }

func (PutImagePage) ops() int { return 1 }

func (w PutImagePage) started(e *Engine, _ time.Time) { e.images.writeStarted(w.Name) }

func (PutImagePage) succeeded(_ *Engine, _ time.Time, _ uint64) {}

func (w PutImagePage) failed(e *Engine, _ map[string]uint64) { e.images.writeFailed(w.Name) }

// rejected does nothing: the page is written again once something on it changes.
func (PutImagePage) rejected(_ *Engine, _ time.Time) {}

// DeleteImagePage deletes a page of the image log that no longer names any machine.
type DeleteImagePage struct{ Name string }

// Kind implements Write.
func (DeleteImagePage) Kind() string { return "delete image page" }

// Target implements Write.
func (w DeleteImagePage) Target() string { return w.Name }

// JobRef implements Write.
func (DeleteImagePage) JobRef() string { return "" }

// Encode implements Write.
func (w DeleteImagePage) Encode(encoder WriteEncoder) error { return encoder.DeleteImagePage(w) }

func (DeleteImagePage) ops() int { return 1 }

func (w DeleteImagePage) started(e *Engine, _ time.Time) { e.images.writeStarted(w.Name) }

func (w DeleteImagePage) succeeded(e *Engine, _ time.Time, _ uint64) { e.images.deleted(w.Name) }

func (w DeleteImagePage) failed(e *Engine, _ map[string]uint64) { e.images.writeFailed(w.Name) }

func (DeleteImagePage) rejected(_ *Engine, _ time.Time) {}
