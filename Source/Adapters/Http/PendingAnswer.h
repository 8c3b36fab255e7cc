#pragma once

#include "Base/Error.h"
#include "Base/MutexLock.h"

#include <absl/time/clock.h>

#include <functional>
#include <memory>
#include <optional>

namespace trefoilwing {

/// Lets a server thread wait, up to a timeout, for an answer that another thread delivers.
template <typename T>
class PendingAnswer {
public:
    /// @return the callback that receives the answer. It may be called after this object is destroyed.
    std::function<void(Result<T>)> callback() const
    {
        return [state = state_](Result<T> answer) {
            {
                const MutexLock lock(state->mutex);
                state->answer = std::move(answer);
            }
            state->changed.Signal();
        };
    }

    /// @return the answer, or the given error if none arrives within the timeout.
    Result<T> wait(absl::Duration timeout, const Error& onTimeout)
    {
        const absl::Time deadline = absl::Now() + timeout;
        const MutexLock lock(state_->mutex);
        while (!state_->answer) {
            if (state_->changed.WaitWithDeadline(&state_->mutex, deadline) && !state_->answer)
                return onTimeout;
        }
        return *state_->answer;
    }

private:
    struct State {
        absl::Mutex mutex;
        absl::CondVar changed;
        std::optional<Result<T>> answer ABSL_GUARDED_BY(mutex);
    };

    std::shared_ptr<State> state_ = std::make_shared<State>();
};

} // namespace trefoilwing
