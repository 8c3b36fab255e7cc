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

/// One member's copy of a log: a snapshot and the entries after it.
class LogStore {
public:
    LogStore() = default;
    LogStore(std::shared_ptr<const Snapshot>, std::vector<LogEntry>);

    /// The index before the first entry held.
    LogIndex baseIndex() const { return baseIndex_; }
    LogIndex lastIndex() const { return LogIndex(baseIndex_.value() + entries_.size()); }
    size_t size() const { return entries_.size(); }
    Term lastTerm() const { return *termAt(lastIndex()); }
    bool isEmpty() const { return lastIndex() == LogIndex(0); }

    /// @return the entry's term, or nothing where the index lies before the base or beyond the end.
    std::optional<Term> termAt(LogIndex) const;

    /// @param index after the base and not beyond the end.
    const LogEntry& entryAt(LogIndex index) const { return entries_[offsetOf(index)]; }

    /// @return entries from an index after the base, at most so many.
    std::vector<LogEntry> entriesFrom(LogIndex, size_t maxEntries) const;

    /// @param entry the one after the last.
    void append(LogEntry);

    /// Drops the entry and all after it.
    void truncateFrom(LogIndex);

    /// Puts a snapshot of this log in place of the entries that it covers.
    /// @param keptEntries so many of them are still held, for members that are a little behind.
    void compact(std::shared_ptr<const Snapshot>, size_t keptEntries);

    /// Puts a leader's snapshot in place of the whole log.
    void replace(std::shared_ptr<const Snapshot>);

    const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

    /// The group's members by the latest entry that names them, committed or not.
    const std::vector<Member>& members() const { return members_.members; }
    /// The entry that named the members; 0 without one.
    LogIndex membersIndex() const { return members_.index; }
    /// @return the members as named up to an index that the snapshot doesn't cover.
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

/// @return the members that a command names, or null.
const std::vector<Member>* membersNamedBy(const Command&);

} // namespace trefoilwing
