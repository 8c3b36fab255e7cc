#pragma once

#include "Ports/Random.h"

#include <random>

namespace trefoilwing {

/// A pseudo-random generator whose sequence depends only on the seed.
class SeededRandom : public Random {
public:
    explicit SeededRandom(uint64_t seed)
        : engine_(seed)
    {
    }

    uint64_t below(uint64_t bound) override { return engine_() % bound; }
    double unit() override { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

private:
    std::mt19937_64 engine_;
};

} // namespace trefoilwing
