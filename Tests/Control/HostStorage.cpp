#include "Control/HostStorage.h"

namespace trefoilwing {

void MemoryStorage::write(const JournalBatch& batch)
{
    if (batch.hardState)
        content_.hardState = *batch.hardState;
    if (batch.dropsEntries)
        content_.entries.clear();
    if (batch.snapshot)
        content_.snapshot = batch.snapshot;
    for (const LogEntry& entry : batch.entries) {
        std::erase_if(content_.entries, [&](const LogEntry& kept) { return kept.index >= entry.index; });
        content_.entries.push_back(entry);
    }
}

} // namespace trefoilwing
