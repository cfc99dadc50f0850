package buffermemory

import (
	"io"

	"github.com/pkg/errors"
)

// ErrFull is the error of a read that finds no memory in the budget.
var ErrFull = errors.New("no memory is left for what is being read")

// readCost is the memory that a byte takes which ReadAll reads: the byte, and the smaller
// buffers from which it was copied.
const readCost = 2

// ReadAll reads r to its end within the budget. held is reserved also after an error; release
// it when the data is no longer needed.
func (b *Budget) ReadAll(r io.Reader) (data []byte, held int64, err error) {
	m := &meter{Reader: r, budget: b}
	data, err = io.ReadAll(m)
	return data, m.held, err
}

type meter struct {
	io.Reader
	budget *Budget
	held   int64
}

// Read implements io.Reader.
func (m *meter) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	cost := readCost * int64(n)
	if !m.budget.Reserve(cost) {
		return 0, ErrFull
	}
	m.held += cost
	return n, err
}
