package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// A frame has a header and a body. The header holds a magic number, the payload
// length, the checksum of the body and the checksum of the header, in this
// order. The body is the payload, padded to a multiple of frameAlignment and
// masked. Frames start at multiples of frameAlignment, so that a header never
// crosses a sector boundary. The mask keeps every written part of a sector from
// being all zeros, which marks a part that was never written.
const (
	headerBytes     = 16
	frameAlignment  = 16
	sectorBytes     = 512
	maxPayloadBytes = 1 << 30
	frameMagic      = 0x42434c31
)

// ErrCorrupt reports damage that cannot result from a crash.
var ErrCorrupt = errors.New("log is corrupt")

// errIncompleteFrame reports an incomplete frame at the end of the file.
var errIncompleteFrame = errors.New("frame is incomplete")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame that holds payload to buf.
func appendFrame(buf, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, frameMagic)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = append(buf, make([]byte, headerBytes-8)...)
	buf = append(buf, payload...)
	buf = append(buf, make([]byte, padding(len(payload)))...)
	header, body := buf[start:start+headerBytes], buf[start+headerBytes:]
	mask(body)
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], castagnoli))
	return buf
}

// mask combines body with a fixed pseudorandom sequence by XOR; a second call
// restores body.
func mask(body []byte) {
	state := uint64(frameMagic)
	for at := 0; at+8 <= len(body); at += 8 {
		state = state*6364136223846793005 + 1442695040888963407
		word := binary.LittleEndian.Uint64(body[at:])
		binary.LittleEndian.PutUint64(body[at:], word^state)
	}
}

// padding returns the number of bytes that pad a payload to a multiple of
// frameAlignment.
func padding(payload int) int {
	return (frameAlignment - payload%frameAlignment) % frameAlignment
}

// readFrameFunc is the signature of readFrame, which tests replace.
type readFrameFunc func(data []byte, offset int) (payload []byte, next int, err error)

// readFrame returns the payload of the frame at offset and the offset of the
// next frame. It returns errIncompleteFrame if the content can result from a
// crash during the last write, and ErrCorrupt otherwise.
func readFrame(data []byte, offset int) (payload []byte, next int, err error) {
	size, ok := readHeader(data[offset:])
	if !ok {
		return nil, 0, invalidHeaderError(data, offset)
	}
	start := offset + headerBytes
	next = start + size + padding(size)
	if next > len(data) {
		return nil, 0, errIncompleteFrame
	}
	body := bytes.Clone(data[start:next])
	want := binary.LittleEndian.Uint32(data[offset+8:])
	if crc32.Checksum(body, castagnoli) == want {
		mask(body)
		return body[:size], next, nil
	}
	if next == len(data) && hasUnwrittenSector(data, start, next) {
		return nil, 0, errIncompleteFrame
	}
	return nil, 0, ErrCorrupt
}

// readHeader returns the payload size if data starts with a valid header.
func readHeader(data []byte) (size int, ok bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, false
	}
	if crc32.Checksum(data[:12], castagnoli) != binary.LittleEndian.Uint32(data[12:]) {
		return 0, false
	}
	size = int(binary.LittleEndian.Uint32(data[4:]))
	return size, size <= maxPayloadBytes
}

// invalidHeaderError returns the error for an invalid header at offset. A crash
// can cut the header short or leave its sector unwritten; if a valid frame
// follows, a crash is not the cause.
func invalidHeaderError(data []byte, offset int) error {
	rest := data[offset:]
	short := len(rest) < headerBytes
	unwritten := isZero(rest[:min(len(rest), headerBytes)])
	if (short || unwritten) && !hasLaterFrame(data, offset) {
		return errIncompleteFrame
	}
	return ErrCorrupt
}

// hasLaterFrame reports whether there is a valid header after offset.
func hasLaterFrame(data []byte, offset int) bool {
	for at := offset + frameAlignment; at+headerBytes <= len(data); at += frameAlignment {
		if _, ok := readHeader(data[at:]); ok {
			return true
		}
	}
	return false
}

// hasUnwrittenSector reports whether there is a sector whose part between start
// and end is all zeros, as it is if the sector was never written.
func hasUnwrittenSector(data []byte, start, end int) bool {
	for at := start; at < end; {
		stop := min((at/sectorBytes+1)*sectorBytes, end)
		if isZero(data[at:stop]) {
			return true
		}
		at = stop
	}
	return false
}

func isZero(b []byte) bool {
	return len(bytes.TrimLeft(b, "\x00")) == 0
}
