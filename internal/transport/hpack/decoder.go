package hpack

import "fmt"

// Decoder decodes the header blocks of one direction of a connection.
type Decoder struct {
	table         dynamicTable
	maxTableSize  int    // limit on the peer's table size updates: our SETTINGS_HEADER_TABLE_SIZE
	maxListSize   int    // limit on a decoded header list, in bytes as Field.Size counts them
	huffmanBuffer []byte // reused by readString
}

// NewDecoder returns a Decoder that limits its dynamic table to maxTableSize bytes and each header list to maxListSize
// bytes, both counted as by [Field.Size].
func NewDecoder(maxTableSize, maxListSize int) *Decoder {
	return &Decoder{
		table:        dynamicTable{maxSize: min(maxTableSize, DefaultTableSize)},
		maxTableSize: maxTableSize,
		maxListSize:  maxListSize,
	}
}

// Decode appends the fields of one complete block to dst. If the error is ErrHeaderListTooLarge, the fields beyond the
// limit are left out, but the block has been decoded to its end, so that the next one can be decoded.
func (d *Decoder) Decode(dst []Field, block []byte) ([]Field, error) {
	listSize, sawField, tooLarge := 0, false, false
	for len(block) > 0 {
		b := block[0]
		if b&sizeUpdateMask == patternSizeUpdate { // section 6.3
			var err error
			if block, err = d.readSizeUpdate(block, sawField); err != nil {
				return dst, err
			}
			continue
		}
		sawField = true
		var f Field
		var err error
		switch {
		case b&patternIndexed != 0: // section 6.1
			var i uint64
			if i, block, err = readInteger(block, prefixBitsIndexed); err != nil {
				return dst, err
			}
			var ok bool
			if f, ok = d.table.lookup(i); !ok {
				return dst, invalidIndex(i)
			}
		case b&patternIncremental != 0: // section 6.2.1
			if f, block, err = d.readLiteral(block, prefixBitsIncremental); err != nil {
				return dst, err
			}
			d.table.add(f)
		default: // sections 6.2.2 and 6.2.3
			if f, block, err = d.readLiteral(block, prefixBitsLiteral); err != nil {
				return dst, err
			}
			f.Sensitive = b&patternNeverIndexed != 0
		}
		if listSize += f.Size(); listSize > d.maxListSize {
			tooLarge = true // guards against a small block with many references to one large table entry
			continue
		}
		dst = append(dst, f)
	}
	if tooLarge {
		return dst, ErrHeaderListTooLarge
	}
	return dst, nil
}

// readSizeUpdate reads and applies a dynamic table size update (RFC 7541, section 6.3), which must precede all fields
// of its block.
func (d *Decoder) readSizeUpdate(block []byte, sawField bool) ([]byte, error) {
	n, rest, err := readInteger(block, prefixBitsSizeUpdate)
	if err != nil {
		return nil, err
	}
	if sawField || n > uint64(d.maxTableSize) {
		return nil, ErrTableSizeUpdate
	}
	d.table.maxSize = int(n)
	d.table.evict()
	return rest, nil
}

// readLiteral reads a literal field, whose name may be given as an index (RFC 7541, section 6.2).
func (d *Decoder) readLiteral(block []byte, prefixBits uint8) (Field, []byte, error) {
	i, block, err := readInteger(block, prefixBits)
	if err != nil {
		return Field{}, nil, err
	}
	var f Field
	if i > 0 {
		named, ok := d.table.lookup(i)
		if !ok {
			return Field{}, nil, invalidIndex(i)
		}
		f.Name = named.Name
	} else if f.Name, block, err = d.readString(block); err != nil {
		return Field{}, nil, err
	}
	f.Value, block, err = d.readString(block)
	return f, block, err
}

// readString reads a string literal (RFC 7541, section 5.2).
func (d *Decoder) readString(block []byte) (string, []byte, error) {
	if len(block) == 0 {
		return "", nil, ErrTruncated
	}
	huffmanCoded := block[0]&patternHuffman != 0
	n, rest, err := readInteger(block, prefixBitsString)
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

func invalidIndex(i uint64) error { return fmt.Errorf("%w: %d", ErrInvalidIndex, i) }
