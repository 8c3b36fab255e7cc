#pragma once

#include "Base/Error.h"
#include "Model/MinionBatches.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace trefoilwing {

/// Encodes and decodes the JSON messages between entries and minions (docs/PROTOCOLS.md, section "Minions").
///
/// Decoders accept any input: an invalid body gives a Malformed error that names the field.
namespace MinionCodec {

    std::string encodeAnnouncement(const MinionAnnouncement&);
    Result<MinionAnnouncement> decodeAnnouncement(const std::string& body);

    /// The answer to an announcement: the duration of the minion's lease.
    std::string encodeLease(absl::Duration);
    Result<absl::Duration> decodeLease(const std::string& body);

    std::string encodeStarts(const StartBatch&);
    Result<StartBatch> decodeStarts(const std::string& body);

    std::string encodeStartAnswers(const std::vector<StartAnswer>&);
    Result<std::vector<StartAnswer>> decodeStartAnswers(const std::string& body);

    std::string encodeCancels(const CancelBatch&);
    Result<CancelBatch> decodeCancels(const std::string& body);

    std::string encodeCancelAnswers(const std::vector<CancelAnswer>&);
    Result<std::vector<CancelAnswer>> decodeCancelAnswers(const std::string& body);

    std::string encodeResults(const ResultBatch&);
    Result<ResultBatch> decodeResults(const std::string& body);

} // namespace MinionCodec

} // namespace trefoilwing
