#include "Disk/JournalScript.h"

#include <absl/strings/str_cat.h>

namespace trefoilwing {

namespace {

    /// @return the entries that must be there; those that the snapshot covers may or may not be removed yet.
    std::vector<LogEntry> afterSnapshot(const JournalContent& content)
    {
        std::vector<LogEntry> entries = content.entries;
        std::erase_if(entries, [&](const LogEntry& entry) { return content.snapshot && entry.index <= content.snapshot->lastIndex; });
        return entries;
    }

} // namespace

LogEntry entryOf(uint64_t index, uint64_t term)
{
    ClaimRecord claim;
    claim.submission = { ServiceId("quotes"), BackerId("shop"), CallerKey(absl::StrCat("k", index)) };
    return { LogIndex(index), Term(term), claim };
}

JournalBatch batchOf(uint64_t token, std::vector<LogEntry> entries)
{
    JournalBatch batch;
    batch.token = SyncToken(token);
    batch.entries = std::move(entries);
    return batch;
}

JournalBatch snapshotOf(uint64_t token, uint64_t index, bool dropsEntries)
{
    JournalBatch batch;
    batch.token = SyncToken(token);
    batch.hardState = HardState { Epoch(1), Term(token), std::nullopt };
    batch.snapshot = std::make_shared<const Snapshot>(Snapshot { LogIndex(index), Term(1), Epoch(1), {}, { LedgerChunk {}, LedgerChunk {} } });
    batch.dropsEntries = dropsEntries;
    return batch;
}

std::vector<JournalBatch> script()
{
    JournalBatch vote = batchOf(1, { entryOf(1, 1), entryOf(2, 1), entryOf(3, 1) });
    vote.hardState = HardState { Epoch(1), Term(1), MemberId { DaemonId("d1"), Incarnation(4) } };
    return { vote, batchOf(2, { entryOf(2, 2), entryOf(3, 2), entryOf(4, 2) }), snapshotOf(3, 3, false), batchOf(4, { entryOf(5, 2) }),
        snapshotOf(5, 9, true), batchOf(6, { entryOf(10, 3) }) };
}

void applyBatch(const JournalBatch& batch, JournalContent& content)
{
    content.hardState = batch.hardState.value_or(content.hardState);
    if (batch.dropsEntries)
        content.entries.clear();
    if (batch.snapshot)
        content.snapshot = batch.snapshot;
    for (const LogEntry& entry : batch.entries) {
        std::erase_if(content.entries, [&](const LogEntry& kept) { return kept.index >= entry.index; });
        content.entries.push_back(entry);
    }
}

JournalContent contentAfter(size_t batches)
{
    JournalContent content;
    const std::vector<JournalBatch> all = script();
    for (size_t i = 0; i < batches; ++i)
        applyBatch(all[i], content);
    return content;
}

bool isSame(const JournalContent& a, const JournalContent& b)
{
    const bool sameSnapshot = a.snapshot && b.snapshot ? *a.snapshot == *b.snapshot : a.snapshot == b.snapshot;
    return a.hardState == b.hardState && sameSnapshot && afterSnapshot(a) == afterSnapshot(b);
}

bool mayFollow(const JournalContent& content, const JournalContent& before, const JournalBatch& batch)
{
    JournalContent whole = before;
    applyBatch(batch, whole);
    JournalContent half = before;
    half.snapshot = whole.snapshot;
    JournalContent halfWithState = half;
    halfWithState.hardState = whole.hardState;
    return isSame(content, before) || isSame(content, whole) || isSame(content, half) || isSame(content, halfWithState);
}

bool mayFollow(const JournalContent& content, size_t acknowledged)
{
    if (acknowledged == script().size())
        return isSame(content, contentAfter(acknowledged));
    return mayFollow(content, contentAfter(acknowledged), script()[acknowledged]);
}

} // namespace trefoilwing
