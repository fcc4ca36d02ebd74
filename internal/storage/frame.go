package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// Layout of a frame: magic, payload length, checksum of the body, checksum of
// the header; then the body, which is the payload padded to alignBytes and
// masked. Frames start at multiples of alignBytes, so that a header never
// crosses a sector. The mask keeps every written part of a sector from being
// all zeros, which marks a part that was never written.
const (
	headerBytes  = 16
	alignBytes   = 16
	sectorBytes  = 512
	maxFrameSize = 1 << 30
	frameMagic   = 0x42434c31
)

// ErrCorrupt reports damage that a crash cannot explain.
var ErrCorrupt = errors.New("log is corrupt")

// errTorn reports an incomplete frame at the end of the file.
var errTorn = errors.New("frame is incomplete")

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

// mask combines body with a fixed sequence; a second call undoes the first.
func mask(body []byte) {
	state := uint64(frameMagic)
	for at := 0; at+8 <= len(body); at += 8 {
		state = state*6364136223846793005 + 1442695040888963407
		word := binary.LittleEndian.Uint64(body[at:])
		binary.LittleEndian.PutUint64(body[at:], word^state)
	}
}

func padding(payload int) int {
	return (alignBytes - payload%alignBytes) % alignBytes
}

// frameReader is the signature of readFrame.
type frameReader func(data []byte, offset int) (payload []byte, next int, err error)

// readFrame returns the payload of the frame at offset and the offset of the
// next one. It returns errTorn when a crash during the last write explains
// what it finds, and ErrCorrupt otherwise.
func readFrame(data []byte, offset int) (payload []byte, next int, err error) {
	size, ok := readHeader(data[offset:])
	if !ok {
		return nil, 0, headerFault(data, offset)
	}
	start := offset + headerBytes
	next = start + size + padding(size)
	if next > len(data) {
		return nil, 0, errTorn
	}
	body := bytes.Clone(data[start:next])
	want := binary.LittleEndian.Uint32(data[offset+8:])
	if crc32.Checksum(body, castagnoli) == want {
		mask(body)
		return body[:size], next, nil
	}
	if next == len(data) && hasZeroSector(data, start, next) {
		return nil, 0, errTorn
	}
	return nil, 0, ErrCorrupt
}

// readHeader returns the payload size when data starts with a valid header.
func readHeader(data []byte) (size int, ok bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, false
	}
	if crc32.Checksum(data[:12], castagnoli) != binary.LittleEndian.Uint32(data[12:]) {
		return 0, false
	}
	size = int(binary.LittleEndian.Uint32(data[4:]))
	return size, size <= maxFrameSize
}

// headerFault explains an invalid header at offset. A crash leaves a header
// cut short, or its sector unwritten. Frames that follow prove the opposite.
func headerFault(data []byte, offset int) error {
	rest := data[offset:]
	short := len(rest) < headerBytes
	unwritten := isZero(rest[:min(len(rest), headerBytes)])
	if (short || unwritten) && !frameFollows(data, offset) {
		return errTorn
	}
	return ErrCorrupt
}

// frameFollows reports whether a valid header lies after offset.
func frameFollows(data []byte, offset int) bool {
	for at := offset + alignBytes; at+headerBytes <= len(data); at += alignBytes {
		if _, ok := readHeader(data[at:]); ok {
			return true
		}
	}
	return false
}

// hasZeroSector reports whether the part of a sector that lies between start
// and end is zero throughout, as it is when the sector was never written.
func hasZeroSector(data []byte, start, end int) bool {
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
