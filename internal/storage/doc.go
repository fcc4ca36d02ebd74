// Package storage keeps the durable record of one replica in a single file.
//
// The file is a sequence of frames. Each frame is the result of one write and
// one sync, so that only the last frame can be incomplete after a crash. A
// compaction writes a new file, syncs it, renames it over the old one and syncs
// the directory: the snapshot and the log change together.
//
// After a crash an incomplete last frame is cut. Damage anywhere else, or a
// last frame that is complete but altered, is reported as ErrCorrupt: the file
// held something that may have been acknowledged, and dropping it could lose
// it.
//
// After the first failed write or sync a Log refuses everything: what the disk
// holds is then unknown.
package storage
