#pragma once

#include "Base/Error.h"
#include "Model/LogRecord.h"

#include <memory>
#include <optional>
#include <vector>

namespace trefoilwing {

/// Numbers the batches given to one journal, from 1.
using SyncToken = StrongId<struct SyncTokenTag, uint64_t>;

/// What a member of a group writes at once.
struct JournalBatch {
    SyncToken token;
    std::optional<HardState> hardState;
    /// An entry replaces the one with its index and all after it.
    std::vector<LogEntry> entries;
    /// A snapshot that takes the place of all entries up to its last.
    std::shared_ptr<const Snapshot> snapshot;
    /// Whether the entries written before this batch are dropped, since the snapshot came from a leader.
    bool dropsEntries = false;
};

/// What a journal held when it was opened.
struct JournalContent {
    HardState hardState;
    std::shared_ptr<const Snapshot> snapshot;
    std::vector<LogEntry> entries;
};

/// Takes what comes back from a journal. Calls come from the journal's thread.
class JournalEvents {
public:
    virtual ~JournalEvents() = default;

    /// All batches up to the token will outlast a crash.
    virtual void synced(SyncToken) = 0;

    /// The journal can keep nothing more; what wasn't synced may be lost.
    virtual void journalFailed(const Error&) = 0;
};

/// Keeps one group's log of one member.
class Journal {
public:
    virtual ~Journal() = default;

    /// Returns at once. Batches are kept in the order of the calls.
    virtual void append(JournalBatch) = 0;
};

} // namespace trefoilwing
