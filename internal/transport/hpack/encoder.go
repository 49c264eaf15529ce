package hpack

// Encoder encodes header blocks.
type Encoder struct {
	table            dynamicTable
	inserted         uint64               // insertions so far, the newest entry's number
	insertionByField map[nameValue]uint64 // number of the newest entry with that field

	sizeUpdatePending bool
	smallestSize      int // smallest maximum size set since the last block
}

const (
	// maxEncoderTableSize limits the memory of the encoder's table: a peer may allow a larger one, but it is kept
	// at this end.
	maxEncoderTableSize = 1 << 16
	// maxEntryFraction: a field larger than this fraction of the table is not indexed.
	maxEntryFraction = 4
)

// NewEncoder returns an Encoder with a table of the default size.
func NewEncoder() *Encoder {
	return &Encoder{table: dynamicTable{maxSize: DefaultTableSize}, insertionByField: map[nameValue]uint64{}}
}

// SetMaxTableSize applies the peer's SETTINGS_HEADER_TABLE_SIZE, in bytes. The next block announces the new
// size to the peer.
func (e *Encoder) SetMaxTableSize(n int) {
	n = min(n, maxEncoderTableSize)
	if n == e.table.maxSize {
		return
	}
	if !e.sizeUpdatePending || n < e.smallestSize {
		e.smallestSize = n
	}
	e.sizeUpdatePending = true
	e.table.maxSize = n
	e.forgetEvicted(e.table.evict())
}

// forgetEvicted removes evicted entries, which were the oldest, from the index.
func (e *Encoder) forgetEvicted(evicted int) {
	if evicted == 0 {
		return
	}
	oldest := e.inserted - uint64(len(e.table.entries)) + 1
	for field, insertion := range e.insertionByField {
		if insertion < oldest {
			delete(e.insertionByField, field)
		}
	}
}

// BeginBlock appends what must stand at the beginning of a block: table size updates that are due.
func (e *Encoder) BeginBlock(dst []byte) []byte {
	if !e.sizeUpdatePending {
		return dst
	}
	e.sizeUpdatePending = false
	if e.smallestSize < e.table.maxSize {
		// The smallest size must be announced first (RFC 7541, section 4.2). Some decoders accept a second
		// update only while their table is empty, so it is emptied: 0 is announced in place of the smallest.
		dst = appendInteger(dst, patternSizeUpdate, prefixBitsSizeUpdate, 0)
		e.table.entries, e.table.size = nil, 0
		clear(e.insertionByField)
	}
	return appendInteger(dst, patternSizeUpdate, prefixBitsSizeUpdate, uint64(e.table.maxSize))
}

// AppendField appends one field. Fields marked Sensitive, and those whose values seldom repeat, are not
// indexed.
func (e *Encoder) AppendField(dst []byte, f Field) []byte {
	key := nameValue{f.Name, f.Value}
	if !f.Sensitive {
		if i, ok := e.index(key); ok {
			return appendInteger(dst, patternIndexed, prefixBitsIndexed, i)
		}
	}
	nameIndex := staticIndexByName[f.Name]
	switch {
	case f.Sensitive:
		dst = appendInteger(dst, patternNeverIndexed, prefixBitsLiteral, nameIndex)
	case variesByCall(f) || f.Size() > e.table.maxSize/maxEntryFraction:
		dst = appendInteger(dst, patternWithoutIndexing, prefixBitsLiteral, nameIndex)
	default:
		dst = appendInteger(dst, patternIncremental, prefixBitsIncremental, nameIndex)
		e.inserted++
		e.insertionByField[key] = e.inserted
		e.forgetEvicted(e.table.add(f))
	}
	if nameIndex == 0 {
		dst = appendString(dst, f.Name)
	}
	return appendString(dst, f.Value)
}

// index returns the index of a field that stands in one of the tables.
func (e *Encoder) index(key nameValue) (uint64, bool) {
	if i := staticIndexByField[key]; i > 0 {
		return i, true
	}
	insertion, ok := e.insertionByField[key]
	return uint64(len(staticTable)) + e.inserted - insertion + 1, ok
}

// variesByCall reports whether a field's value differs from call to call. In the table it would evict fields
// that repeat.
func variesByCall(f Field) bool {
	switch f.Name {
	case "grpc-timeout", "grpc-message", "content-length", "endpoint-load-metrics-bin", "idempotency-key",
		"grpc-retry-pushback-ms", "topazfront-call":
		return true
	}
	return false
}
