package hpack

// Encoder encodes the header blocks of one direction of a connection.
type Encoder struct {
	table            dynamicTable
	inserted         uint64               // insertions so far, which is also the insertion number of the newest entry
	insertionByField map[nameValue]uint64 // insertion number of the newest entry with that field

	sizeUpdatePending bool // the next block must announce a new maximum table size
	smallestSize      int  // smallest maximum size set since the last block, in bytes
}

const (
	// maxEncoderTableSize limits the encoder's table in bytes, even if the peer allows more, because this end keeps the
	// table in memory.
	maxEncoderTableSize = 1 << 16
	// maxEntryDivisor limits the size of an indexed field to 1/maxEntryDivisor of the table.
	maxEntryDivisor = 4
)

// NewEncoder returns an Encoder whose dynamic table has the default maximum size.
func NewEncoder() *Encoder {
	return &Encoder{table: dynamicTable{maxSize: DefaultTableSize}, insertionByField: map[nameValue]uint64{}}
}

// SetMaxTableSize applies the peer's SETTINGS_HEADER_TABLE_SIZE of n bytes. The next block announces the new size to
// the peer.
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

// forgetEvicted removes the evicted entries, which were the oldest, from insertionByField.
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

// BeginBlock begins a header block: it appends the pending table size updates, which must precede all fields.
func (e *Encoder) BeginBlock(dst []byte) []byte {
	if !e.sizeUpdatePending {
		return dst
	}
	e.sizeUpdatePending = false
	if e.smallestSize < e.table.maxSize {
		// The smallest size must be announced first (RFC 7541, section 4.2). Some decoders accept a second update
		// only while their table is empty, so 0 is announced instead of the smallest size, which empties the table.
		dst = appendInteger(dst, patternSizeUpdate, prefixBitsSizeUpdate, 0)
		e.table.entries, e.table.size = nil, 0
		clear(e.insertionByField)
	}
	return appendInteger(dst, patternSizeUpdate, prefixBitsSizeUpdate, uint64(e.table.maxSize))
}

// AppendField appends one field. Sensitive and large fields, and those whose values rarely repeat, are not added to the
// dynamic table.
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
	case variesByCall(f) || f.Size() > e.table.maxSize/maxEntryDivisor:
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

// index returns the index of a field. The result is false if the field is in neither table.
func (e *Encoder) index(key nameValue) (uint64, bool) {
	if i := staticIndexByField[key]; i > 0 {
		return i, true
	}
	insertion, ok := e.insertionByField[key]
	return uint64(len(staticTable)) + e.inserted - insertion + 1, ok
}

// variesByCall reports whether the value of a field differs from call to call. In the dynamic table such a field would
// evict fields that repeat.
func variesByCall(f Field) bool {
	switch f.Name {
	case "grpc-timeout", "grpc-message", "content-length", "endpoint-load-metrics-bin", "idempotency-key",
		"grpc-retry-pushback-ms", "topazfront-call":
		return true
	}
	return false
}
