package store_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/store"
)

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestARaisedEraWakesThoseThatKnowAnOlderOne(t *testing.T) {
	var e store.Era
	waiting := e.After(0)
	e.Record(1)
	assert.Assert(t, isClosed(waiting))
	assert.Assert(t, isClosed(e.After(0)))
	assert.Assert(t, e.RaisedAt().IsZero(), "the first era says nothing of a return of the store")
	newer := e.After(1)
	e.Record(1)
	e.Record(0)
	assert.Assert(t, !isClosed(newer))
	assert.Equal(t, e.Newest(), uint64(1))
	e.Record(3)
	assert.Assert(t, isClosed(newer))
	assert.Equal(t, e.Newest(), uint64(3))
	assert.Assert(t, !e.RaisedAt().IsZero())
}
