#include "Adapters/Clock/SeededRandom.h"

namespace trefoilwing {

SeededRandom::SeededRandom(uint64_t seed)
    : engine_(seed)
{
}

uint64_t SeededRandom::below(uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_);
}

double SeededRandom::unit()
{
    // std::uniform_real_distribution may round up to 1, which the port excludes.
    return static_cast<double>(engine_() >> 11U) * 0x1p-53;
}

uint64_t SeededRandom::freshSeed()
{
    std::random_device device;
    return (uint64_t { device() } << 32U) | device();
}

} // namespace trefoilwing
