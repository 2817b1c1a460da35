package coordinator

import (
	"github.com/greengagewing/greengagewing/internal/cluster/records"
	"github.com/greengagewing/greengagewing/internal/cluster/rowstore"
	"github.com/greengagewing/greengagewing/internal/cluster/scheduler"
)

const (
	// maxCommitEntries and maxCommitBytes keep a commit within the store's limits, with room for the head row and the owner
	// row, which the commit also writes. Only rows that belong together may have more bytes: at most records.MaxJobBytes.
	maxCommitEntries = rowstore.MaxTxnEntries - 10
	maxCommitBytes   = rowstore.MaxTxnBytes / 4
)

// commitRows collects the rows that one commit writes.
type commitRows struct {
	changes []recordRows
	entries int
	bytes   int
}

// fits reports whether the rows of c may be added to the commit. An empty commit takes any rows.
func (cr *commitRows) fits(c recordRows) bool {
	return len(cr.changes) == 0 || cr.entries+c.entries() <= maxCommitEntries && cr.bytes+c.bytes() <= maxCommitBytes
}

// add adds the rows of c to the commit.
func (cr *commitRows) add(c recordRows) {
	cr.changes = append(cr.changes, c)
	cr.entries += c.entries()
	cr.bytes += c.bytes()
}

// rows returns the rows of all changes.
func (cr *commitRows) rows() recordRows {
	var all recordRows
	for _, c := range cr.changes {
		all.append(c)
	}
	return all
}

// recordRows holds the rows of one record, or of the records in one batch, which one commit has to write together.
type recordRows struct {
	puts    []rowstore.Put
	removes []rowstore.Key
	// records are those that are durable with these rows. There are none for the list of workers in use, the removal of rows that are
	// no longer needed, and all but the last rows of a record that takes several commits.
	records []scheduler.Record
	// partOf is the job whose record continues in the rows that follow; "" if these are its last ones.
	partOf string
	// inUse is the list of workers in use that the rows hold, or nil. inherited means that the list names some as inherited.
	inUse     map[string]scheduler.WorkerUse
	clocks    map[string]scheduler.ClockZero // of the workers in inUse
	inherited bool
	delegated bool
}

// entries returns how many entries of a commit the rows take.
func (c recordRows) entries() int { return len(c.puts) + len(c.removes) }

// bytes returns the total size of the written values.
func (c recordRows) bytes() int {
	n := 0
	for _, p := range c.puts {
		n += len(p.Value)
	}
	return n
}

// append adds the rows of o.
func (c *recordRows) append(o recordRows) {
	c.puts = append(c.puts, o.puts...)
	c.removes = append(c.removes, o.removes...)
}

// rowIndex divides values into rows that the store takes, and remembers which stored values have several rows, so that all of them
// can be removed. It is used by the goroutine that writes to the store, after the rows of earlier owners are loaded.
type rowIndex struct {
	maxBytes int                  // of a row's value
	parts    map[rowstore.Key]int // values with more than one row
	obsolete []rowstore.Key       // stored values of jobs that had all ended before this owner's term; they have to be removed
}

func newRowIndex(maxBytes int) *rowIndex {
	return &rowIndex{maxBytes: maxBytes, parts: map[rowstore.Key]int{}}
}

// note records how many rows a stored value has.
func (x *rowIndex) note(k rowstore.Key, parts int) {
	if parts > 1 {
		x.parts[k] = parts
	} else {
		delete(x.parts, k)
	}
}

// put returns the rows that replace a value, and the removal of rows that it no longer needs.
func (x *rowIndex) put(k rowstore.Key, value []byte) recordRows {
	c := recordRows{puts: records.Split(k, value, x.maxBytes)}
	c.removes = records.PartKeys(k, len(c.puts), x.parts[k])
	x.note(k, len(c.puts))
	return c
}

// remove returns the removal of all rows of a value.
func (x *rowIndex) remove(k rowstore.Key) recordRows {
	c := recordRows{removes: records.PartKeys(k, 0, max(x.parts[k], 1))}
	delete(x.parts, k)
	return c
}

// removeObsolete returns the removal of each obsolete value, once.
func (x *rowIndex) removeObsolete() []recordRows {
	var out []recordRows
	for _, k := range x.obsolete {
		out = append(out, x.remove(k))
	}
	x.obsolete = nil
	return out
}
