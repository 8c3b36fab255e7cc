#include "Adapters/Disk/JournalFolder.h"

#include "Adapters/Disk/JournalBlock.h"
#include "Adapters/Msgpack/Codec.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <optional>
#include <variant>

namespace trefoilwing {

/// Record that drops all earlier entries, since a leader's snapshot replaced them.
struct DroppedEntries {
    LogIndex lastIndex;
};

void visitFields(auto&& visit, Fields<DroppedEntries> auto& value)
{
    visit(value.lastIndex);
}

namespace {

    using JournalRecord = std::variant<HardState, LogEntry, DroppedEntries>;

    constexpr const char* identityName = "identity";
    constexpr const char* segmentPrefix = "segment-";
    constexpr const char* segmentSuffix = ".log";
    constexpr const char* snapshotPrefix = "snapshot-";
    constexpr const char* snapshotSuffix = ".snap";
    constexpr const char* temporarySuffix = ".tmp";

    constexpr const char* cure = "move the folder away and restart: the daemon then joins its group as a new member";

    std::string numberedName(const char* prefix, uint64_t number, const char* suffix)
    {
        // Zero-padded, so that names sort in the order of their numbers.
        return absl::StrFormat("%s%020d%s", prefix, number, suffix);
    }

    std::optional<uint64_t> numberIn(const std::string& name, const std::string& prefix, const std::string& suffix)
    {
        uint64_t number = 0;
        if (name.size() <= prefix.size() + suffix.size() || !absl::StartsWith(name, prefix) || !absl::EndsWith(name, suffix)
            || !absl::SimpleAtoi(name.substr(prefix.size(), name.size() - prefix.size() - suffix.size()), &number))
            return std::nullopt;
        return number;
    }

    Error corruptionError(const std::string& path, uint64_t offset, const std::string& reason)
    {
        return { ErrorCode::Malformed, absl::StrCat(path, ": offset ", offset, ": ", reason, "; ", cure), Verdict::MayHaveRun };
    }

    void applyRecord(const HardState& record, JournalContent& content)
    {
        content.hardState = record;
    }

    void applyRecord(const DroppedEntries&, JournalContent& content)
    {
        content.entries.clear();
    }

    void applyRecord(const LogEntry& record, JournalContent& content)
    {
        while (!content.entries.empty() && content.entries.back().index >= record.index)
            content.entries.pop_back();
        content.entries.push_back(record);
    }

    void addRecords(const JournalBatch& batch, std::vector<JournalRecord>& records)
    {
        if (batch.hardState)
            records.emplace_back(*batch.hardState);
        if (batch.dropsEntries)
            records.emplace_back(DroppedEntries { batch.snapshot->lastIndex });
        for (const LogEntry& entry : batch.entries)
            records.emplace_back(entry);
    }

} // namespace

JournalFolder::JournalFolder(FileSystem& files, std::string folder, Options options)
    : files_(files)
    , folder_(std::move(folder))
    , options_(options)
{
}

// Reading.

Result<JournalFolder::Opened> JournalFolder::open(Incarnation offered)
{
    if (auto made = files_.makeFolder(folder_); errorOf(made))
        return *errorOf(made);
    // A process that was killed may have left names that no power loss would keep.
    if (auto synced = files_.syncFolder(folder_); errorOf(synced))
        return *errorOf(synced);
    ++syncs_;
    const auto listed = files_.list(folder_);
    if (errorOf(listed))
        return *errorOf(listed);
    const std::vector<std::string>& names = *valueOf(listed);
    const auto identity = readIdentity(names, offered);
    if (errorOf(identity))
        return *errorOf(identity);
    Opened opened { {}, *valueOf(identity), Bytes(0) };
    if (auto read = readSnapshot(names, opened.content); errorOf(read))
        return *errorOf(read);
    if (auto read = readSegments(names, opened.content); errorOf(read))
        return *errorOf(read);
    if (auto inOrder = checkOrder(opened.content); errorOf(inOrder))
        return *errorOf(inOrder);
    hardState_ = opened.content.hardState;
    if (auto begun = beginSegment(); errorOf(begun))
        return *errorOf(begun);
    opened.cutOff = cutOffBytes_;
    return opened;
}

Result<Incarnation> JournalFolder::readIdentity(const std::vector<std::string>& names, Incarnation offered)
{
    if (std::find(names.begin(), names.end(), identityName) == names.end()) {
        const bool hasRecords = std::any_of(names.begin(), names.end(), [](const std::string& name) {
            return absl::EndsWith(name, segmentSuffix) || absl::EndsWith(name, snapshotSuffix);
        });
        if (hasRecords)
            return corruptionError(pathOf(identityName), 0, "the file is missing, but the folder holds segments or snapshots");
        if (auto written = writeAtomically(identityName, [&](AppendFile& file) { return file.append(makeBlock(encode(offered))); }); errorOf(written))
            return *errorOf(written);
        return offered;
    }
    const auto bytes = files_.read(pathOf(identityName));
    if (errorOf(bytes))
        return *errorOf(bytes);
    BlockReader reader(*valueOf(bytes));
    if (!reader.next() || !reader.isAtEnd())
        return corruptionError(pathOf(identityName), reader.offset(), "the checksum doesn't match");
    return decode<Incarnation>(reader.content());
}

Result<Done> JournalFolder::readSnapshot(const std::vector<std::string>& names, JournalContent& content)
{
    for (const std::string& name : names)
        snapshotIndex_ = std::max(snapshotIndex_, LogIndex(numberIn(name, snapshotPrefix, snapshotSuffix).value_or(0)));
    if (snapshotIndex_ == LogIndex(0))
        return Done {};
    const std::string path = pathOf(numberedName(snapshotPrefix, snapshotIndex_.value(), snapshotSuffix));
    const auto bytes = files_.read(path);
    if (errorOf(bytes))
        return *errorOf(bytes);
    // The first block holds the snapshot without its chunks; each later block holds one chunk.
    BlockReader reader(*valueOf(bytes));
    std::optional<Snapshot> snapshot;
    while (reader.next()) {
        if (!snapshot) {
            auto head = decode<Snapshot>(reader.content());
            if (errorOf(head))
                return corruptionError(path, reader.offset(), errorOf(head)->message);
            snapshot = std::get<Snapshot>(std::move(head));
            continue;
        }
        auto chunk = decode<SnapshotChunk>(reader.content());
        if (errorOf(chunk))
            return corruptionError(path, reader.offset(), errorOf(chunk)->message);
        snapshot->chunks.push_back(std::get<SnapshotChunk>(std::move(chunk)));
    }
    if (!reader.isAtEnd() || !snapshot)
        return corruptionError(path, reader.offset(), "the checksum doesn't match");
    content.snapshot = std::make_shared<const Snapshot>(*std::move(snapshot));
    return Done {};
}

Result<Done> JournalFolder::readSegments(const std::vector<std::string>& names, JournalContent& content)
{
    for (const std::string& name : names) {
        if (const auto number = numberIn(name, segmentPrefix, segmentSuffix))
            segments_.push_back({ *number, {} });
    }
    for (size_t i = 0; i < segments_.size(); ++i) {
        if (i > 0 && segments_[i].number != segments_[i - 1].number + 1)
            return corruptionError(pathOf(numberedName(segmentPrefix, segments_[i - 1].number + 1, segmentSuffix)), 0, "the segment is missing");
        if (auto read = readSegment(segments_[i], i + 1 == segments_.size(), content); errorOf(read))
            return read;
    }
    return Done {};
}

Result<Done> JournalFolder::readSegment(Segment& segment, bool isLast, JournalContent& content)
{
    const std::string path = pathOf(numberedName(segmentPrefix, segment.number, segmentSuffix));
    const auto bytes = files_.read(path);
    if (errorOf(bytes))
        return *errorOf(bytes);
    BlockReader reader(*valueOf(bytes));
    while (reader.next()) {
        const auto records = decode<std::vector<JournalRecord>>(reader.content());
        if (errorOf(records))
            return corruptionError(path, reader.offset(), errorOf(records)->message);
        for (const JournalRecord& record : *valueOf(records)) {
            std::visit([&](const auto& typed) { applyRecord(typed, content); }, record);
            if (const auto* entry = std::get_if<LogEntry>(&record))
                segment.lastIndex = std::max(segment.lastIndex, entry->index);
        }
    }
    if (!reader.isAtEnd() && (!isLast || reader.hasLaterBlock()))
        return corruptionError(path, reader.offset(), "the checksum doesn't match");
    if (!isLast)
        return Done {};
    cutOffBytes_ = Bytes(valueOf(bytes)->size() - reader.offset());
    return reader.isAtEnd() ? syncFile(path) : files_.truncate(path, reader.offset());
}

Result<Done> JournalFolder::syncFile(const std::string& path)
{
    const auto opened = files_.open(path);
    if (errorOf(opened))
        return *errorOf(opened);
    ++syncs_;
    return (*valueOf(opened))->sync();
}

Result<Done> JournalFolder::checkOrder(const JournalContent& content) const
{
    LogIndex expected(snapshotIndex_.value() + 1);
    for (const LogEntry& entry : content.entries) {
        // Entries that the snapshot covers aren't needed. They may end before it, if a process was killed between the two
        // writes that replace them by a leader's snapshot.
        if (entry.index <= snapshotIndex_)
            continue;
        if (entry.index != expected)
            return corruptionError(folder_, 0, absl::StrCat("entry ", expected.value(), " is missing"));
        expected = LogIndex(expected.value() + 1);
    }
    return Done {};
}

// Writing.

Result<Done> JournalFolder::write(const std::vector<JournalBatch>& batches)
{
    if (hasFailedWrite_) {
        if (auto repaired = repairSegment(); errorOf(repaired))
            return repaired;
    }
    const HardState synced = hardState_;
    auto written = writeBatches(batches);
    hasFailedWrite_ = errorOf(written) != nullptr;
    if (hasFailedWrite_)
        hardState_ = synced;
    return written;
}

Result<Done> JournalFolder::writeBatches(const std::vector<JournalBatch>& batches)
{
    std::vector<JournalRecord> records;
    std::shared_ptr<const Snapshot> snapshot;
    bool dropsEntries = false;
    for (const JournalBatch& batch : batches) {
        if (batch.hardState)
            hardState_ = *batch.hardState;
        if (batch.snapshot)
            snapshot = batch.snapshot;
        if (batch.dropsEntries)
            records.clear();
        dropsEntries |= batch.dropsEntries;
        addRecords(batch, records);
    }
    // A snapshot is stored before the record that drops the entries it replaces.
    if (snapshot) {
        if (auto written = writeSnapshot(*snapshot); errorOf(written))
            return written;
    }
    if (snapshot || currentBytes_ >= options_.maxSegmentBytes) {
        if (auto begun = beginSegment(); errorOf(begun))
            return begun;
    }
    for (const JournalRecord& record : records) {
        if (const auto* entry = std::get_if<LogEntry>(&record))
            segments_.back().lastIndex = std::max(segments_.back().lastIndex, entry->index);
    }
    if (!records.empty()) {
        if (auto written = writeBlock(encode(records)); errorOf(written))
            return written;
    }
    if (dropsEntries) {
        for (Segment& segment : segments_)
            segment.lastIndex = &segment == &segments_.back() ? segment.lastIndex : LogIndex(0);
    }
    return snapshot ? removeObsoleteFiles() : Result<Done>(Done {});
}

Result<Done> JournalFolder::writeBlock(const std::string& content)
{
    const std::string block = makeBlock(content);
    if (auto appended = current_->append(block); errorOf(appended))
        return appended;
    bytesWritten_ += block.size();
    ++syncs_;
    if (auto synced = current_->sync(); errorOf(synced))
        return synced;
    currentBytes_ += block.size();
    return Done {};
}

Result<Done> JournalFolder::beginSegment()
{
    const uint64_t number = segments_.empty() ? 1 : segments_.back().number + 1;
    auto opened = files_.open(pathOf(numberedName(segmentPrefix, number, segmentSuffix)));
    if (errorOf(opened))
        return *errorOf(opened);
    current_ = std::get<std::unique_ptr<AppendFile>>(std::move(opened));
    currentBytes_ = 0;
    segments_.push_back({ number, {} });
    return writeSegmentStart();
}

Result<Done> JournalFolder::writeSegmentStart()
{
    // Earlier segments are removed later, so each segment begins with the latest hard state.
    if (auto written = writeBlock(encode(std::vector<JournalRecord> { hardState_ })); errorOf(written))
        return written;
    return files_.syncFolder(folder_);
}

Result<Done> JournalFolder::repairSegment()
{
    const std::string path = pathOf(numberedName(segmentPrefix, segments_.back().number, segmentSuffix));
    current_.reset();
    if (auto truncated = files_.truncate(path, currentBytes_); errorOf(truncated))
        return truncated;
    auto opened = files_.open(path);
    if (errorOf(opened))
        return *errorOf(opened);
    current_ = std::get<std::unique_ptr<AppendFile>>(std::move(opened));
    // The failed write may have been the first of the segment, or the sync of the folder that holds it.
    return currentBytes_ == 0 ? writeSegmentStart() : files_.syncFolder(folder_);
}

Result<Done> JournalFolder::writeAtomically(const std::string& name, const ContentWriter& fill)
{
    const std::string temporary = pathOf(name) + temporarySuffix;
    // A temporary file left by an earlier crash would precede the content, as files are opened for appending.
    if (auto removed = files_.remove(temporary); errorOf(removed))
        return removed;
    auto opened = files_.open(temporary);
    if (errorOf(opened))
        return *errorOf(opened);
    AppendFile& file = **valueOf(opened);
    if (auto filled = fill(file); errorOf(filled))
        return filled;
    if (auto synced = file.sync(); errorOf(synced))
        return synced;
    if (auto renamed = files_.rename(temporary, pathOf(name)); errorOf(renamed))
        return renamed;
    return files_.syncFolder(folder_);
}

Result<Done> JournalFolder::writeSnapshot(const Snapshot& snapshot)
{
    // Encoded one chunk at a time, so that memory never holds a second copy of the whole snapshot.
    const auto fill = [&snapshot](AppendFile& file) -> Result<Done> {
        const Snapshot head { snapshot.lastIndex, snapshot.lastTerm, snapshot.epoch, snapshot.members, {} };
        if (auto appended = file.append(makeBlock(encode(head))); errorOf(appended))
            return appended;
        for (const SnapshotChunk& chunk : snapshot.chunks) {
            if (auto appended = file.append(makeBlock(encode(chunk))); errorOf(appended))
                return appended;
        }
        return Done {};
    };
    if (auto written = writeAtomically(numberedName(snapshotPrefix, snapshot.lastIndex.value(), snapshotSuffix), fill); errorOf(written))
        return written;
    snapshotIndex_ = snapshot.lastIndex;
    return Done {};
}

Result<Done> JournalFolder::removeObsoleteFiles()
{
    // Only the oldest segments are removed, without gaps, so that a missing segment is always detected. A power loss may bring
    // back any of the names that were removed since the last sync, so there is one at most.
    for (bool isFirst = true; segments_.size() > 1 && segments_.front().lastIndex <= snapshotIndex_; isFirst = false) {
        if (auto synced = isFirst ? Result<Done>(Done {}) : files_.syncFolder(folder_); errorOf(synced))
            return synced;
        if (auto removed = files_.remove(pathOf(numberedName(segmentPrefix, segments_.front().number, segmentSuffix))); errorOf(removed))
            return removed;
        segments_.pop_front();
    }
    const auto names = files_.list(folder_);
    if (errorOf(names))
        return *errorOf(names);
    for (const std::string& name : *valueOf(names)) {
        const auto index = numberIn(name, snapshotPrefix, snapshotSuffix);
        if (!index || LogIndex(*index) >= snapshotIndex_)
            continue;
        if (auto removed = files_.remove(pathOf(name)); errorOf(removed))
            return removed;
    }
    return files_.syncFolder(folder_);
}

} // namespace trefoilwing
