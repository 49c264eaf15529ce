package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// Limits on the lines of a chunked body.
const (
	maxChunkLine       = 256 // bytes of an incomplete line
	maxChunkSizeDigits = 8
	chunkSizeBits      = 31
)

// chunkState is the part of a chunked body that is expected next.
type chunkState int

const (
	chunkSize    chunkState = iota // the line with a chunk's size
	chunkData                      // a chunk's data
	chunkDataEnd                   // the CRLF after a chunk's data
	chunkTrailer                   // the trailer section after the last chunk
)

// readChunks parses the received part of a chunked body (RFC 9112, section 7.1). done reports that the body is
// complete.
func (r *Reader) readChunks() (done bool, err error) {
	consumed := 0
	defer func() {
		if consumed > 0 {
			r.discard(consumed)
		}
	}()
	for {
		rest := r.buf[consumed:]
		if r.chunkState == chunkData {
			n := min(r.chunkRemaining, len(rest))
			r.body = append(r.body, rest[:n]...)
			consumed += n
			if r.chunkRemaining -= n; r.chunkRemaining > 0 {
				return false, nil
			}
			r.chunkState = chunkDataEnd
			continue
		}
		end := bytes.Index(rest, []byte("\r\n"))
		if end < 0 {
			if len(rest) > maxChunkLine || r.chunkState == chunkDataEnd && len(rest) > 1 {
				return false, badRequest("chunk not ended")
			}
			return false, nil
		}
		line := string(rest[:end])
		consumed += end + len("\r\n")
		if done, err := r.readChunkLine(line); done || err != nil {
			return done, err
		}
	}
}

// readChunkLine parses a line between the data of chunks. done reports that it is the last line of the body.
func (r *Reader) readChunkLine(line string) (done bool, err error) {
	switch r.chunkState {
	case chunkDataEnd:
		if line != "" {
			return false, badRequest("chunk longer than its size")
		}
		r.chunkState = chunkSize
		return false, nil
	case chunkSize:
		return false, r.readChunkSize(line)
	case chunkTrailer:
		return r.readTrailerLine(line)
	case chunkData: // not line-based; readChunks handles it
	}
	return false, nil
}

// readTrailerLine parses a line of the trailer section, whose fields are ignored. done reports that it is the empty
// line at the end.
func (r *Reader) readTrailerLine(line string) (done bool, err error) {
	if line == "" {
		return true, nil
	}
	if r.trailerBytes += len(line); r.trailerBytes > r.limits.Head {
		return false, &Error{StatusHeaderFieldsTooLarge, "trailer exceeds its limit"}
	}
	return false, nil
}

// readChunkSize parses the line with a chunk's size. Chunk extensions are ignored.
func (r *Reader) readChunkSize(line string) error {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(digits, 16, chunkSizeBits)
	if err != nil || len(digits) > maxChunkSizeDigits {
		return badRequest("chunk size %.20q", line)
	}
	if len(r.body)+int(size) > r.limits.Body {
		return &Error{StatusContentTooLarge, "body exceeds its limit"}
	}
	r.chunkState, r.chunkRemaining, r.trailerBytes = chunkData, int(size), 0
	if size == 0 {
		r.chunkState = chunkTrailer
	}
	return nil
}
