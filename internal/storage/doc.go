// Package storage keeps the durable record of one replica in a single file.
//
// The file is a sequence of frames. Each frame is the result of one write and
// one sync, so that only the last frame can be incomplete after a crash.
// Open syncs the file, because the process before may have ended between a write and
// its sync. Compaction writes a new file, syncs it, renames it over the old one and syncs
// the directory, so that the snapshot and the log change together.
//
// When the file is opened, an incomplete last frame is removed. Damage anywhere
// else, or a last frame that is complete but altered, is reported as
// ErrCorrupt: the frame may hold a record that was acknowledged, and removing
// it could lose that record.
//
// After a failed write or sync, a Log rejects all further writes, because the
// content of the disk is unknown.
package storage
