#pragma once

#include "Base/Error.h"
#include "Model/LogRecord.h"

#include <memory>
#include <optional>
#include <vector>

namespace trefoilwing {

/// Number of a batch appended to a journal, from 1.
using SyncToken = StrongId<struct SyncTokenTag, uint64_t>;

/// The records that a member of a group writes in one operation.
struct JournalBatch {
    SyncToken token;
    std::optional<HardState> hardState;
    /// Each entry replaces the stored entry with the same index and all entries after it.
    std::vector<LogEntry> entries;
    /// A snapshot that replaces all entries up to and including its last index.
    std::shared_ptr<const Snapshot> snapshot;
    /// Whether all entries written before this batch are dropped, because the snapshot was received from a leader.
    bool dropsEntries = false;
};

/// The content of a journal when it was opened.
///
/// All of it is durable, whichever process wrote it: a member may report, acknowledge and vote on it at once. Entries that
/// were appended since are durable once a sync that covers them was reported (JournalEvents::synced).
struct JournalContent {
    HardState hardState;
    std::shared_ptr<const Snapshot> snapshot;
    std::vector<LogEntry> entries;
};

/// Receives events from a journal. Its methods are called on the journal's thread.
class JournalEvents {
public:
    virtual ~JournalEvents() = default;

    /// All batches up to and including the token are durable: they survive a crash. After a failure this also shows
    /// that the journal writes again.
    virtual void synced(SyncToken) = 0;

    /// A write has failed. The journal repeats it, and reports each attempt that fails.
    virtual void journalFailed(const Error&) = 0;
};

/// Stores one member's log of one group.
class Journal {
public:
    virtual ~Journal() = default;

    /// Appends a batch without blocking. Batches are stored in the order of the calls, also after a failure.
    virtual void append(JournalBatch) = 0;
};

} // namespace trefoilwing
