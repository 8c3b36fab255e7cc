#pragma once

#include "Model/LogRecord.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace trefoilwing {

inline LogIndex next(LogIndex index)
{
    return LogIndex(index.value() + 1);
}
inline LogIndex previous(LogIndex index)
{
    return LogIndex(index.value() - 1);
}
inline Term next(Term term)
{
    return Term(term.value() + 1);
}

/// One member's in-memory copy of a replicated log: a snapshot and the entries after it.
class LogStore {
public:
    LogStore() = default;
    LogStore(std::shared_ptr<const Snapshot>, std::vector<LogEntry>);

    /// The index before the first stored entry.
    LogIndex baseIndex() const { return baseIndex_; }
    LogIndex lastIndex() const { return LogIndex(baseIndex_.value() + entries_.size()); }
    size_t size() const { return entries_.size(); }
    Term lastTerm() const { return *termAt(lastIndex()); }
    bool isEmpty() const { return lastIndex() == LogIndex(0); }

    /// @return the entry's term, or nothing if the index lies before the base or beyond the end.
    std::optional<Term> termAt(LogIndex) const;

    /// @param index must lie after the base and not beyond the end.
    const LogEntry& entryAt(LogIndex index) const { return entries_[offsetOf(index)]; }

    /// @return up to maxEntries entries, starting at an index after the base.
    std::vector<LogEntry> entriesFrom(LogIndex, size_t maxEntries) const;

    /// @param entry must have the index after the last one.
    void append(LogEntry);

    /// Removes the entry at the index and all later ones.
    void truncateFrom(LogIndex);

    /// Replaces the entries that a snapshot of this log covers by the snapshot.
    /// @param keptEntries number of covered entries to keep, for members that are slightly behind.
    void compact(std::shared_ptr<const Snapshot>, size_t keptEntries);

    /// Replaces the whole log by a leader's snapshot.
    void replace(std::shared_ptr<const Snapshot>);

    const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

    /// The group's members according to the latest entry that lists them, committed or not.
    const std::vector<Member>& members() const { return members_.members; }
    /// Index of the entry that lists the members; 0 if there is none.
    LogIndex membersIndex() const { return members_.index; }
    /// @return the members as of an index that the snapshot doesn't cover.
    std::vector<Member> membersAt(LogIndex) const;

private:
    struct NamedMembers {
        LogIndex index;
        std::vector<Member> members;
    };

    size_t offsetOf(LogIndex index) const { return index.value() - baseIndex_.value() - 1; }
    NamedMembers findMembers(LogIndex last) const;

    std::shared_ptr<const Snapshot> snapshot_;
    LogIndex baseIndex_;
    Term baseTerm_;
    std::deque<LogEntry> entries_;
    NamedMembers members_;
};

/// @return the members that a command lists, or null if it lists none.
const std::vector<Member>* membersNamedBy(const Command&);

} // namespace trefoilwing
