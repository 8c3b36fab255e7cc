#include "Control/ElectionTally.h"

namespace trefoilwing {

std::string_view failureReason(const ElectionTally& tally, size_t voters)
{
    const size_t majority = voters / 2 + 1;
    if (tally.granted + tally.refused < majority)
        return "too few voters answered";
    if (tally.granted < majority)
        return "voters refused: their logs are newer or they voted for another member";
    return "the candidate's own vote was not synced in time";
}

} // namespace trefoilwing
