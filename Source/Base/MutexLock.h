#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace trefoilwing {

/// Locks a mutex until the end of the scope.
///
/// The distribution's Abseil package isn't instrumented for ThreadSanitizer, so ThreadSanitizer builds
/// report each acquire and release of the mutex here.
class ABSL_SCOPED_LOCKABLE MutexLock {
public:
    explicit MutexLock(absl::Mutex& mutex) ABSL_EXCLUSIVE_LOCK_FUNCTION(mutex)
        : mutex_(mutex)
    {
        mutex_.Lock();
#if defined(__SANITIZE_THREAD__)
        __tsan_acquire(&mutex_);
#endif
    }

    ~MutexLock() ABSL_UNLOCK_FUNCTION()
    {
#if defined(__SANITIZE_THREAD__)
        __tsan_release(&mutex_);
#endif
        mutex_.Unlock();
    }

    MutexLock(const MutexLock&) = delete;
    MutexLock& operator=(const MutexLock&) = delete;

private:
    absl::Mutex& mutex_;
};

} // namespace trefoilwing
