#include "Control/LogStore.h"

#include <algorithm>

namespace trefoilwing {

const std::vector<Member>* membersNamedBy(const Command& command)
{
    if (const auto* record = std::get_if<MemberRecord>(&command))
        return &record->members;
    if (const auto* record = std::get_if<FoundingRecord>(&command))
        return &record->members;
    return nullptr;
}

LogStore::LogStore(std::shared_ptr<const Snapshot> snapshot, std::vector<LogEntry> entries)
{
    if (snapshot)
        replace(std::move(snapshot));
    for (LogEntry& entry : entries) {
        // The snapshot covers the entries up to its index. Later entries of a lower term than the snapshot's
        // were never committed.
        if (entry.index == next(lastIndex()) && entry.term >= baseTerm_)
            entries_.push_back(std::move(entry));
    }
    members_ = findMembers(lastIndex());
}

std::optional<Term> LogStore::termAt(LogIndex index) const
{
    if (index == baseIndex_)
        return baseTerm_;
    if (index < baseIndex_ || index > lastIndex())
        return std::nullopt;
    return entryAt(index).term;
}

std::vector<LogEntry> LogStore::entriesFrom(LogIndex first, size_t maxEntries) const
{
    if (first > lastIndex())
        return {};
    const auto begin = entries_.begin() + static_cast<ptrdiff_t>(offsetOf(first));
    const size_t available = lastIndex().value() - first.value() + 1;
    return { begin, begin + static_cast<ptrdiff_t>(std::min(available, maxEntries)) };
}

void LogStore::append(LogEntry entry)
{
    if (const std::vector<Member>* named = membersNamedBy(entry.command))
        members_ = { entry.index, *named };
    entries_.push_back(std::move(entry));
}

void LogStore::truncateFrom(LogIndex first)
{
    entries_.erase(entries_.begin() + static_cast<ptrdiff_t>(offsetOf(first)), entries_.end());
    if (membersIndex() >= first)
        members_ = findMembers(lastIndex());
}

void LogStore::compact(std::shared_ptr<const Snapshot> snapshot, size_t keptEntries)
{
    snapshot_ = std::move(snapshot);
    const size_t covered = snapshot_->lastIndex.value() - baseIndex_.value();
    if (covered <= keptEntries)
        return;
    const LogIndex base(snapshot_->lastIndex.value() - keptEntries);
    const Term term = *termAt(base);
    entries_.erase(entries_.begin(), entries_.begin() + static_cast<ptrdiff_t>(covered - keptEntries));
    baseIndex_ = base;
    baseTerm_ = term;
}

void LogStore::replace(std::shared_ptr<const Snapshot> snapshot)
{
    entries_.clear();
    snapshot_ = std::move(snapshot);
    baseIndex_ = snapshot_->lastIndex;
    baseTerm_ = snapshot_->lastTerm;
    members_ = findMembers(baseIndex_);
}

std::vector<Member> LogStore::membersAt(LogIndex index) const
{
    return findMembers(index).members;
}

LogStore::NamedMembers LogStore::findMembers(LogIndex last) const
{
    NamedMembers found = snapshot_ ? NamedMembers { snapshot_->lastIndex, snapshot_->members } : NamedMembers {};
    for (LogIndex index = std::max(next(baseIndex_), next(found.index)); index <= std::min(last, lastIndex()); index = next(index)) {
        if (const std::vector<Member>* named = membersNamedBy(entryAt(index).command))
            found = { index, *named };
    }
    return found;
}

} // namespace trefoilwing
