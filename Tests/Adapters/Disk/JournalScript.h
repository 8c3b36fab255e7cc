#pragma once

#include "Ports/Journal.h"

#include <string>
#include <vector>

namespace trefoilwing {

/// Batches for the tests of journals, and the content that a journal must have after them.

inline const std::string folderName = "journal";

LogEntry entryOf(uint64_t index, uint64_t term);
JournalBatch batchOf(uint64_t token, std::vector<LogEntry> entries);
JournalBatch snapshotOf(uint64_t token, uint64_t index, bool dropsEntries);

/// @return batches with every kind of write: entries, entries that replace others, and snapshots with and without
/// dropsEntries.
std::vector<JournalBatch> script();

/// Applies a batch to the content that a journal has before it.
void applyBatch(const JournalBatch&, JournalContent&);

/// @return the content that a journal must have after the first batches of the script.
JournalContent contentAfter(size_t batches);

/// @return whether a journal may hold the one in place of the other: entries that the snapshot covers may or may not be
/// removed yet.
bool isSame(const JournalContent&, const JournalContent&);

/// @return whether a journal may hold this after `before` was acknowledged, and the batch was written whole, in part or not
/// at all. With a snapshot it may be stored up to its snapshot or hard state.
bool mayFollow(const JournalContent&, const JournalContent& before, const JournalBatch&);

/// @return whether a journal may hold this after so many batches of the script were acknowledged.
bool mayFollow(const JournalContent&, size_t acknowledged);

} // namespace trefoilwing
