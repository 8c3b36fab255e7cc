#pragma once

#include "Ports/Random.h"

#include <random>

namespace trefoilwing {

/// Pseudo-random numbers that are reproducible from a seed. Not thread-safe: each shard has its own generator.
class SeededRandom : public Random {
public:
    explicit SeededRandom(uint64_t seed);

    uint64_t below(uint64_t bound) override;
    double unit() override;

    /// @return a seed from the operating system's entropy source, for daemons.
    static uint64_t freshSeed();

private:
    std::mt19937_64 engine_;
};

} // namespace trefoilwing
