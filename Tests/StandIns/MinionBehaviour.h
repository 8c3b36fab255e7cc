#pragma once

#include "Model/MinionBatches.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// How a stand-in minion deviates from the protocol. The base class follows it.
class MinionBehaviour {
public:
    /// Makes a behaviour.
    /// @param after the number of starts after which the behaviours "silent", "crash" and "hung" take effect.
    using Factory = std::function<std::unique_ptr<MinionBehaviour>(uint64_t after)>;

    virtual ~MinionBehaviour() = default;

    /// @return whether every start is refused as busy.
    virtual bool refuses() const { return false; }
    /// @return the actual run time of a task whose expected run time is given.
    /// @param startNumber the number of the start at this minion, from 1.
    virtual absl::Duration actualRunTime(absl::Duration runTime, uint64_t /*startNumber*/) const { return runTime; }
    virtual TaskStatus status() const { return TaskStatus::Succeeded; }
    /// @return the delay of the answer to a batch of starts.
    virtual absl::Duration answerDelay() const { return absl::ZeroDuration(); }
    /// @return whether the minion answers messages and posts results, given its number of starts so far.
    virtual bool isResponsive(uint64_t /*starts*/) const { return true; }
    /// @return whether the minion sends announcements, given its number of starts so far.
    virtual bool sendsAnnouncements(uint64_t /*starts*/) const { return true; }
    /// @return whether the process exits abruptly, given its number of starts so far.
    virtual bool crashes(uint64_t /*starts*/) const { return false; }
    /// @return the batches in which the results are posted.
    virtual std::vector<std::vector<TaskResult>> splitIntoBatches(std::vector<TaskResult> results) const { return { std::move(results) }; }

    /// @return the behaviour, or null if none is registered under the name.
    static std::unique_ptr<MinionBehaviour> make(const std::string& name, uint64_t after);

    /// @return the names of all behaviours, separated by spaces.
    static std::string names();
};

} // namespace trefoilwing
