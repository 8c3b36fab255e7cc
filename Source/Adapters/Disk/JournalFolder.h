#pragma once

#include "Adapters/Disk/FileSystem.h"
#include "Model/Units.h"
#include "Ports/Journal.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// The files of one group's journal:
///
///     identity                  the incarnation of this storage
///     segment-NUMBER.log        blocks of records, in the order of writing
///     snapshot-INDEX.snap       the state after the entry INDEX
///
/// Each write is one block and is synced before the next. What a process that was killed has left unsynced is synced, or cut
/// off if it is incomplete, before another segment is begun. So only the last block of the last segment can be incomplete.
/// Not thread-safe: one thread uses it.
class JournalFolder {
public:
    struct Options {
        /// A new segment is started once the current one has reached this size.
        uint64_t maxSegmentBytes = 8U << 20U;
    };

    /// The content of an opened folder.
    struct Opened {
        JournalContent content;
        /// The incarnation of the storage: the offered one if the folder is new, else the stored one.
        Incarnation storage;
        /// Size of an incomplete last write, which was cut off.
        Bytes cutOff;
    };

    JournalFolder(FileSystem&, std::string folder, Options);

    /// Reads all files, truncates an incomplete last write, and syncs what an earlier process has left unsynced.
    /// @param offered the storage's incarnation if the folder is new: higher than any earlier one.
    /// @return the stored content, or an error that names file, offset and cure.
    Result<Opened> open(Incarnation offered);

    /// Writes the batches as one block and syncs it. After an error, some of them may be stored; the next call must
    /// begin with the same batches, and replaces what the failed one left.
    Result<Done> write(const std::vector<JournalBatch>&);

    uint64_t bytesWritten() const { return bytesWritten_; }
    uint64_t syncs() const { return syncs_; }

private:
    struct Segment {
        uint64_t number = 0;
        LogIndex lastIndex;
    };

    Result<Incarnation> readIdentity(const std::vector<std::string>& names, Incarnation offered);
    Result<Done> readSnapshot(const std::vector<std::string>& names, JournalContent&);
    Result<Done> readSegments(const std::vector<std::string>& names, JournalContent&);
    Result<Done> readSegment(Segment&, bool isLast, JournalContent&);
    Result<Done> syncFile(const std::string& path);
    Result<Done> checkOrder(const JournalContent&) const;
    Result<Done> writeBatches(const std::vector<JournalBatch>&);
    Result<Done> beginSegment();
    /// Cuts off what a failed write left in the current segment.
    Result<Done> repairSegment();
    /// Stores the hard state, with which each segment begins, and the segment's name in the folder.
    Result<Done> writeSegmentStart();
    Result<Done> writeBlock(const std::string& content);
    using ContentWriter = std::function<Result<Done>(AppendFile&)>;

    /// Writes a file atomically: after a crash it is either complete or missing.
    Result<Done> writeAtomically(const std::string& name, const ContentWriter&);
    Result<Done> writeSnapshot(const Snapshot&);
    Result<Done> removeObsoleteFiles();
    std::string pathOf(const std::string& name) const { return folder_ + "/" + name; }

    FileSystem& files_;
    std::string folder_;
    Options options_;
    std::deque<Segment> segments_;
    std::unique_ptr<AppendFile> current_;
    /// Number of bytes of the current segment that are known to be synced.
    uint64_t currentBytes_ = 0;
    /// Whether the last write failed, so that the current segment may end with a part of it.
    bool hasFailedWrite_ = false;
    HardState hardState_;
    LogIndex snapshotIndex_;
    Bytes cutOffBytes_;
    uint64_t bytesWritten_ = 0;
    uint64_t syncs_ = 0;
};

} // namespace trefoilwing
