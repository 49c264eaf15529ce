// Package hpack is the header compression of HTTP/2 (RFC 7541). An [Encoder] and a [Decoder] hold the state
// of one direction of one connection and belong to one goroutine at a time. Decoded strings are the
// caller's for good; blocks passed in are not kept.
package hpack

import (
	"errors"
	"fmt"
)

// Field is one header field. Sensitive fields are never indexed (RFC 7541, section 7.1.3).
type Field struct {
	Name, Value string
	Sensitive   bool
}

// Size is what the field counts in a table or a header list: 32 more than its bytes (RFC 7541, section 4.1).
func (f Field) Size() int { return len(f.Name) + len(f.Value) + 32 }

// DefaultTable is the size of the dynamic table that both ends start with, in bytes.
const DefaultTableSize = 4096

// table is a dynamic table: a ring with the newest entry last.
type dynamicTable struct {
	entries       []Field // oldest first
	size, maxSize int
}

func (t *dynamicTable) add(f Field) (evicted int) {
	f.Sensitive = false
	t.entries = append(t.entries, f)
	t.size += f.Size()
	return t.evict()
}

// shrink evicts the oldest entries until the table fits. An entry larger than the table empties it, which is
// no error (RFC 7541, section 4.4).
func (t *dynamicTable) evict() (evicted int) {
	for t.size > t.maxSize && evicted < len(t.entries) {
		t.size -= t.entries[evicted].Size()
		evicted++
	}
	if evicted > 0 {
		n := copy(t.entries, t.entries[evicted:])
		clear(t.entries[n:])
		t.entries = t.entries[:n]
	}
	return evicted
}

// at returns the entry with an index of the joint space: the static table from 1, the newest dynamic entry
// after it.
func (t *dynamicTable) lookup(i uint64) (Field, bool) {
	switch n := uint64(len(t.entries)); {
	case i == 0 || i > uint64(len(staticTable))+n:
		return Field{}, false
	case i <= uint64(len(staticTable)):
		return staticTable[i-1], true
	default:
		return t.entries[n-(i-uint64(len(staticTable)))], true
	}
}

// Errors of a block. Each is a COMPRESSION_ERROR of the connection, as the two ends' tables no longer agree,
// but for ErrTooLarge, after which the state is whole.
var (
	ErrTruncated          = errors.New("hpack: block ends within a field")
	ErrInvalidIndex       = errors.New("hpack: index outside the tables")
	ErrIntegerOverflow    = errors.New("hpack: integer too large")
	ErrTableSizeUpdate    = errors.New("hpack: table size update larger than allowed, or behind a field")
	ErrHeaderListTooLarge = errors.New("hpack: header list larger than allowed")
)

// Decoder reads header blocks.
type Decoder struct {
	table         dynamicTable
	maxTableSize  int // most that the peer may set the table to: our SETTINGS_HEADER_TABLE_SIZE
	maxListSize   int
	huffmanBuffer []byte
}

// NewDecoder returns a Decoder whose table may have up to maxTable bytes and whose lists up to maxList, both
// counted as [Field.Size] does.
func NewDecoder(maxTableSize, maxListSize int) *Decoder {
	return &Decoder{table: dynamicTable{maxSize: min(maxTableSize, DefaultTableSize)}, maxTableSize: maxTableSize, maxListSize: maxListSize}
}

// Decode appends the fields of one whole block to dst. On ErrTooLarge the block was read to its end, so
// that the next one can be read, but the fields beyond the bound are left out.
func (d *Decoder) Decode(dst []Field, block []byte) ([]Field, error) {
	listSize, sawField, tooLarge := 0, false, false
	for len(block) > 0 {
		b := block[0]
		if b&0xe0 == 0x20 { // 6.3 dynamic table size update
			n, rest, err := readInteger(block, 5)
			if err != nil {
				return dst, err
			}
			if sawField || n > uint64(d.maxTableSize) {
				return dst, ErrTableSizeUpdate
			}
			d.table.maxSize = int(n)
			d.table.evict()
			block = rest
			continue
		}
		sawField = true
		var f Field
		var err error
		switch {
		case b&0x80 != 0: // 6.1 indexed field
			var i uint64
			if i, block, err = readInteger(block, 7); err != nil {
				return dst, err
			}
			var ok bool
			if f, ok = d.table.lookup(i); !ok {
				return dst, fmt.Errorf("%w: %d", ErrInvalidIndex, i)
			}
		case b&0xc0 == 0x40: // 6.2.1 literal with incremental indexing
			if f, block, err = d.readLiteral(block, 6); err != nil {
				return dst, err
			}
			d.table.add(f)
		default: // 6.2.2 and 6.2.3, literal without indexing or never indexed
			if f, block, err = d.readLiteral(block, 4); err != nil {
				return dst, err
			}
			f.Sensitive = b&0x10 != 0
		}
		if listSize += f.Size(); listSize > d.maxListSize {
			tooLarge = true // guards against a bomb: many references to one large entry
			continue
		}
		dst = append(dst, f)
	}
	if tooLarge {
		return dst, ErrHeaderListTooLarge
	}
	return dst, nil
}

func (d *Decoder) readLiteral(block []byte, prefixBits uint8) (Field, []byte, error) {
	i, block, err := readInteger(block, prefixBits)
	if err != nil {
		return Field{}, nil, err
	}
	var f Field
	if i > 0 {
		named, ok := d.table.lookup(i)
		if !ok {
			return Field{}, nil, fmt.Errorf("%w: %d", ErrInvalidIndex, i)
		}
		f.Name = named.Name
	} else if f.Name, block, err = d.readString(block); err != nil {
		return Field{}, nil, err
	}
	f.Value, block, err = d.readString(block)
	return f, block, err
}

func (d *Decoder) readString(block []byte) (string, []byte, error) {
	if len(block) == 0 {
		return "", nil, ErrTruncated
	}
	huffmanCoded := block[0]&0x80 != 0
	n, rest, err := readInteger(block, 7)
	if err != nil {
		return "", nil, err
	}
	if n > uint64(len(rest)) {
		return "", nil, ErrTruncated
	}
	raw, rest := rest[:n], rest[n:]
	if !huffmanCoded {
		return string(raw), rest, nil
	}
	if d.huffmanBuffer, err = appendHuffmanDecoded(d.huffmanBuffer[:0], raw); err != nil {
		return "", nil, err
	}
	return string(d.huffmanBuffer), rest, nil
}

// integer reads an integer with a prefix of so many bits (RFC 7541, section 5.1).
func readInteger(b []byte, prefixBits uint8) (uint64, []byte, error) {
	if len(b) == 0 {
		return 0, nil, ErrTruncated
	}
	limit := uint64(1)<<prefixBits - 1
	n := uint64(b[0]) & limit
	if n < limit {
		return n, b[1:], nil
	}
	for i, shift := 1, 0; i < len(b); i, shift = i+1, shift+7 {
		if shift > 28 {
			return 0, nil, ErrIntegerOverflow
		}
		n += uint64(b[i]&0x7f) << shift
		if b[i]&0x80 == 0 {
			return n, b[i+1:], nil
		}
	}
	return 0, nil, ErrTruncated
}

func appendInteger(dst []byte, first byte, prefixBits uint8, n uint64) []byte {
	limit := uint64(1)<<prefixBits - 1
	if n < limit {
		return append(dst, first|byte(n))
	}
	dst = append(dst, first|byte(limit))
	for n -= limit; n >= 0x80; n >>= 7 {
		dst = append(dst, byte(n)|0x80)
	}
	return append(dst, byte(n))
}

func appendString(dst []byte, s string) []byte {
	if n := huffmanEncodedLen(s); n < len(s) {
		return appendHuffmanEncoded(appendInteger(dst, 0x80, 7, uint64(n)), s)
	}
	return append(appendInteger(dst, 0, 7, uint64(len(s))), s...)
}

// pair is a field's name and value as a key of an index.
type nameValue struct{ name, value string }

// staticPairs and staticNames find the lowest index of the static table.
var staticIndexByField, staticIndexByName = func() (map[nameValue]uint64, map[string]uint64) {
	pairs, names := map[nameValue]uint64{}, map[string]uint64{}
	for i, f := range staticTable {
		pairs[nameValue{f.Name, f.Value}] = uint64(i + 1)
		if names[f.Name] == 0 {
			names[f.Name] = uint64(i + 1)
		}
	}
	return pairs, names
}()

// Encoder writes header blocks.
type Encoder struct {
	table             dynamicTable
	inserted          uint64               // entries added so far; entry number n is the n-th
	insertionByField  map[nameValue]uint64 // number of the newest entry with that pair
	sizeUpdatePending bool
	smallestSize      int // smallest size set since the last block
}

// NewEncoder returns an Encoder with a table of the default size.
func NewEncoder() *Encoder {
	return &Encoder{table: dynamicTable{maxSize: DefaultTableSize}, insertionByField: map[nameValue]uint64{}}
}

// SetTable follows the peer's SETTINGS_HEADER_TABLE_SIZE, in bytes. The next block tells the peer.
func (e *Encoder) SetMaxTableSize(n int) {
	n = min(n, 1<<16) // a larger table would be the peer's to pay for, but ours to keep
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

// drop forgets the index entries of evicted fields, which were the oldest.
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

// Begin appends what must stand at the head of a block: table size updates that are due.
func (e *Encoder) BeginBlock(dst []byte) []byte {
	if !e.sizeUpdatePending {
		return dst
	}
	e.sizeUpdatePending = false
	if e.smallestSize < e.table.maxSize {
		// The smallest size must be told first (RFC 7541, section 4.2). Some decoders take a second update
		// only with their table empty, so it is emptied: 0 is told in place of the smallest.
		dst = appendInteger(dst, 0x20, 5, 0)
		e.table.entries, e.table.size = nil, 0
		clear(e.insertionByField)
	}
	return appendInteger(dst, 0x20, 5, uint64(e.table.maxSize))
}

// Append appends one field. Fields marked Sensitive, and values that hardly repeat, are not indexed.
func (e *Encoder) AppendField(dst []byte, f Field) []byte {
	key := nameValue{f.Name, f.Value}
	if !f.Sensitive {
		if i := staticIndexByField[key]; i > 0 {
			return appendInteger(dst, 0x80, 7, i)
		}
		if n, ok := e.insertionByField[key]; ok {
			return appendInteger(dst, 0x80, 7, uint64(len(staticTable))+e.inserted-n+1)
		}
	}
	nameIndex := staticIndexByName[f.Name]
	switch {
	case f.Sensitive:
		dst = appendInteger(dst, 0x10, 4, nameIndex)
	case variesByCall(f) || f.Size() > e.table.maxSize/4:
		dst = appendInteger(dst, 0, 4, nameIndex)
	default:
		dst = appendInteger(dst, 0x40, 6, nameIndex)
		e.inserted++
		e.insertionByField[key] = e.inserted
		e.forgetEvicted(e.table.add(f))
	}
	if nameIndex == 0 {
		dst = appendString(dst, f.Name)
	}
	return appendString(dst, f.Value)
}

// fleeting tells of fields whose values differ from call to call; in the table they would push out those
// that repeat.
func variesByCall(f Field) bool {
	switch f.Name {
	case "grpc-timeout", "grpc-message", "content-length", "endpoint-load-metrics-bin", "idempotency-key",
		"grpc-retry-pushback-ms", "topazfront-call":
		return true
	}
	return false
}
