#pragma once

#include "Ports/Journal.h"

#include <optional>

namespace trefoilwing {

/// The disk of a simulated host: what its member has written, and what is left of it after a loss.
class HostStorage {
public:
    virtual ~HostStorage() = default;

    /// Starts a process.
    /// @param offered the storage's incarnation, if it is new.
    /// @return what the journal holds; unset if it can't be opened.
    virtual std::optional<JournalContent> open(Incarnation offered) = 0;
    /// Writes and syncs a batch.
    virtual void write(const JournalBatch&) = 0;
    /// Ends the process.
    /// @param inFlight the batch that was being written; null if none was.
    virtual void kill(const JournalBatch* inFlight) = 0;
    /// Loses power while no process runs.
    virtual void losePower() = 0;
};

/// Keeps exactly the batches that were synced.
class MemoryStorage final : public HostStorage {
public:
    std::optional<JournalContent> open(Incarnation) override { return content_; }
    void write(const JournalBatch&) override;
    void kill(const JournalBatch*) override { }
    void losePower() override { }

private:
    JournalContent content_;
};

} // namespace trefoilwing
