#pragma once

#include "Ports/Random.h"

#include <random>

namespace trefoilwing {

/// Random choices that repeat for a seed. Not synchronised: each shard has its own.
class SeededRandom : public Random {
public:
    explicit SeededRandom(uint64_t seed);

    uint64_t below(uint64_t bound) override;
    double unit() override;

    /// @return a seed from the machine's own entropy, for daemons.
    static uint64_t freshSeed();

private:
    std::mt19937_64 engine_;
};

} // namespace trefoilwing
