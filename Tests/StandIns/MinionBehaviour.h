#pragma once

#include "Model/MinionBatches.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing {

/// How a stand-in minion departs from obedience; the base class doesn't.
class MinionBehaviour {
public:
    /// Makes a behaviour.
    /// @param after the number of starts after which the behaviours that wait for it set in.
    using Factory = std::function<std::unique_ptr<MinionBehaviour>(uint64_t after)>;

    virtual ~MinionBehaviour() = default;

    /// Whether every start is refused as busy.
    virtual bool refuses() const { return false; }
    /// How long a task takes that should take runTime.
    /// @param startNumber counts this minion's starts from 1.
    virtual absl::Duration stretch(absl::Duration runTime, uint64_t /*startNumber*/) const { return runTime; }
    virtual TaskStatus status() const { return TaskStatus::Succeeded; }
    /// How long the answer to a batch of starts is held back.
    virtual absl::Duration answerDelay() const { return absl::ZeroDuration(); }
    /// Whether messages are handled and results posted, after so many starts.
    virtual bool answers(uint64_t /*starts*/) const { return true; }
    /// Whether announcements are sent, after so many starts.
    virtual bool announces(uint64_t /*starts*/) const { return true; }
    /// Whether the process dies, after so many starts.
    virtual bool crashes(uint64_t /*starts*/) const { return false; }
    /// @return the batches to post for the given results.
    virtual std::vector<std::vector<TaskResult>> shape(std::vector<TaskResult> results) const { return { std::move(results) }; }

    /// @return the behaviour, or null where none is registered by that name.
    static std::unique_ptr<MinionBehaviour> make(const std::string& name, uint64_t after);

    /// @return the names of all behaviours, separated by blanks.
    static std::string names();
};

} // namespace trefoilwing
