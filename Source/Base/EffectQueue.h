#pragma once

#include "Base/MutexLock.h"

#include <functional>
#include <utility>
#include <vector>

namespace trefoilwing {

/// Runs the side effects of a shard's decisions in the order of the decisions, without holding the shard's lock.
///
/// Only one thread flushes at a time, and it also runs the effects that other threads add, which keeps the order.
/// Lock order: the queue's mutex may be locked while the shard's is held, and no other lock is taken while it is held.
class EffectQueue {
public:
    using Effect = std::function<void()>;

    /// Adds an effect. The caller must hold the shard's lock, so that effects are queued in the order of the decisions.
    void add(Effect effect) ABSL_LOCKS_EXCLUDED(mutex_)
    {
        MutexLock lock(mutex_);
        effects_.push_back(std::move(effect));
    }

    /// Runs all queued effects, unless another thread is already running
    /// them. The caller must not hold the shard's lock.
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
