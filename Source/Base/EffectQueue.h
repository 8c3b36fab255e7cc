#pragma once

#include "Base/MutexLock.h"

#include <functional>
#include <utility>
#include <vector>

namespace trefoilwing {

/// The effects that a shard decided on, carried out in their order with no lock held.
///
/// One thread at a time carries them out; it takes those of the others too, so that their order is kept.
/// The queue's own lock is a leaf: it is taken under the shard's, and nothing is taken under it.
class EffectQueue {
public:
    using Effect = std::function<void()>;

    /// Takes an effect for the next flush. Call it with the shard's lock held, so that the order is the decisions'.
    void add(Effect effect) ABSL_LOCKS_EXCLUDED(mutex_)
    {
        MutexLock lock(mutex_);
        effects_.push_back(std::move(effect));
    }

    /// Carries out what waits. Call it without the shard's lock.
    void flush() ABSL_LOCKS_EXCLUDED(mutex_)
    {
        while (true) {
            std::vector<Effect> effects;
            {
                MutexLock lock(mutex_);
                if (isFlushing_ || effects_.empty())
                    return;
                isFlushing_ = true;
                effects = std::exchange(effects_, {});
            }
            for (const Effect& effect : effects)
                effect();
            MutexLock lock(mutex_);
            isFlushing_ = false;
        }
    }

private:
    absl::Mutex mutex_;
    std::vector<Effect> effects_ ABSL_GUARDED_BY(mutex_);
    bool isFlushing_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace trefoilwing
