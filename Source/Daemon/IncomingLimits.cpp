#include "Daemon/IncomingLimits.h"

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace trefoilwing {

namespace {

    /// Incoming connections may hold the memory of the process divided by this. An eighth more is for the send queues to other
    /// daemons, and the rest for the state and for the documents that are built of requests.
    constexpr uint64_t memoryDivisor = 4;
    /// The answers of minions may hold the memory of the process divided by this.
    constexpr uint64_t answerMemoryDivisor = 8;
    /// A body and the copy of it that its handler makes.
    constexpr uint64_t copiesOfABody = 2;
    /// Incoming connections may use the descriptors of the process divided by this. The others are for connections to minions
    /// and daemons, and for files.
    constexpr size_t descriptorDivisor = 2;

} // namespace

size_t maxDescriptors(const FleetSettings& settings)
{
    size_t descriptors = std::numeric_limits<size_t>::max();
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        descriptors = limit.rlim_cur;
    return settings.maxDescriptors > 0 ? std::min<size_t>(descriptors, settings.maxDescriptors) : descriptors;
}

ConnectionLimits incomingLimits(const FleetSettings& settings, Bytes maxBody)
{
    ConnectionLimits limits;
    limits.maxHeld = Bytes(std::max((uint64_t { settings.memoryMb } << 20U) / memoryDivisor, copiesOfABody * maxBody.value()));
    limits.maxConnections = maxDescriptors(settings) / descriptorDivisor;
    return limits;
}

Bytes maxMinionAnswers(const FleetSettings& settings)
{
    return Bytes((uint64_t { settings.memoryMb } << 20U) / answerMemoryDivisor);
}

} // namespace trefoilwing
