package memory_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/memory"
)

// endless yields the same byte without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestReadBodyReturnsWholeBodies(t *testing.T) {
	for _, size := range []int{0, 1, 2047, 2048, 2049, 4096, 10_000} {
		for _, length := range []int64{-1, int64(size)} {
			b := &memory.Budget{Bytes: 1 << 20}
			body, err := memory.ReadBody(iotest.OneByteReader(strings.NewReader(strings.Repeat("a", size))), length, 10_000, b)
			assert.NilError(t, err)
			assert.Equal(t, len(body), size)
			assert.Assert(t, b.Acquire(1<<20), "the memory is released")
		}
	}
}

func TestReadBodyRefusesWhatIsTooLarge(t *testing.T) {
	_, err := memory.ReadBody(endless{}, -1, 5000, nil)
	assert.ErrorIs(t, err, memory.ErrTooLarge)
	_, err = memory.ReadBody(endless{}, 10, 5000, nil)
	assert.ErrorIs(t, err, memory.ErrTooLarge, "a length that is wrong doesn't lift the limit")
	_, err = memory.ReadBody(bytes.NewReader(nil), 5001, 5000, nil)
	assert.ErrorIs(t, err, memory.ErrTooLarge, "nothing is read of a body that says it is too large")
}

func TestAnErrorOfTheReaderIsReturned(t *testing.T) {
	broken := errors.New("reset")
	_, err := memory.ReadBody(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(broken)), -1, 5000, nil)
	assert.ErrorIs(t, err, broken)
}

// A body that announces a large length and then stalls must not keep the memory from others.
func TestMemoryIsAcquiredAsBytesArrive(t *testing.T) {
	b := &memory.Budget{Bytes: 100_000}
	r, w := io.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = memory.ReadBody(r, 90_000, 90_000, b)
	}()
	_, err := w.Write([]byte("begin"))
	assert.NilError(t, err)
	assert.Assert(t, b.Acquire(90_000))
	b.Release(90_000)
	_ = w.Close()
	<-ended
}

func TestBodiesWithoutEndShareTheBudget(t *testing.T) {
	b := &memory.Budget{Bytes: 100_000}
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() {
			_, err := memory.ReadBody(endless{}, -1, 80_000, b)
			assert.Check(t, errors.Is(err, memory.ErrExhausted) || errors.Is(err, memory.ErrTooLarge))
		})
	}
	group.Wait()
	assert.Assert(t, b.Acquire(100_000), "all memory is released")
}

// It guards against one user of a budget, such as a server that sends without end, taking what is left to the others.
func TestAPartOfABudgetLeavesTheRestToOthers(t *testing.T) {
	whole := &memory.Budget{Bytes: 100_000}
	part := &memory.Budget{Bytes: 60_000, Whole: whole}
	for range 10 {
		_, err := memory.ReadBody(endless{}, -1, 80_000, part)
		assert.Check(t, errors.Is(err, memory.ErrExhausted), "%v", err)
	}
	assert.Assert(t, part.Acquire(60_000), "all memory of the part is released")
	assert.Assert(t, !part.Acquire(1))
	assert.Assert(t, whole.Acquire(40_000), "the rest of the whole is left to others")
	assert.Assert(t, !whole.Acquire(1))
	part.Release(60_000)
	assert.Assert(t, whole.Acquire(60_000), "what the part releases is free in the whole")
	assert.Assert(t, !part.Acquire(1), "the part has no more than the whole")
}

// It guards against a body that is refused for its size making smaller ones fail beside it, though there is room for them.
func TestARefusedAcquireDoesNotKeepOthersFromTheBudget(t *testing.T) {
	b := &memory.Budget{Bytes: 1000}
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	for range 4 {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					assert.Check(t, !b.Acquire(1001))
				}
			}
		})
	}
	for range 100_000 {
		assert.Assert(t, b.Acquire(1))
		b.Release(1)
	}
}
