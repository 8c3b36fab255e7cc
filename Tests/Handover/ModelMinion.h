#pragma once

#include "Handover/ModelNetwork.h"
#include "Model/Runs.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace trefoilwing {

/// A task of the model's jobs.
using ModelTask = std::pair<JobKey, TaskIndex>;

/// A minion that keeps the users' rules: fences by epoch, one lease for all runs on its own clock, which may be slow, and
/// new counts and a new clock after a restart under its id.
class ModelMinion {
public:
    /// Is told of each start and end of a run.
    struct Observer {
        std::function<void(const ModelMinion&, const ModelTask&)> started;
        std::function<void(const ModelMinion&, const ModelTask&)> ended;
    };

    /// @param address names it in the network.
    /// @param rate of its clock, from 0.98 to 1.
    ModelMinion(std::string address, const CellId& cell, ModelNetwork&, double rate, Observer);

    const std::string& address() const { return address_; }
    bool isUp() const { return isUp_; }
    /// @return its next report.
    MinionReport report();

    void crash();
    /// From now on it reports that it leaves. Its tasks run on.
    void beginToLeave() { life_.isLeaving = true; }
    bool isLeaving() const { return life_.isLeaving; }
    MinionInstance instance() const { return { MinionId(id_), life_.born }; }
    /// Starts it again under its id.
    void restart();
    /// Starts another minion at its address, under an id of its own.
    void replace();

    StartResult receive(const StartOrder&);
    StopResult receive(const StopOrder&);
    RenewResult receive(const RenewOrder&);

private:
    struct Life {
        MinionStartTime born;
        absl::Time startedAt;
        OwnerEpoch fence;
        int64_t leaseEndMs = 0;
        std::map<ModelTask, RunNumber> running;
        std::map<ModelTask, RunNumber> highest;
        std::vector<EndedRun> ended;
        uint64_t sequence = 0;
        uint64_t endCount = 0;
        bool isLeaving = false;
    };

    int64_t clockMs() const;
    void extendLease(int64_t leaseEndMs);
    /// @return whether the order is carried out: it isn't fenced off.
    bool admits(const OrderHeader&);
    void endRun(const ModelTask&, RunEnd);
    void expireLease(MinionStartTime born);

    const std::string address_;
    std::string id_;
    const CellId cell_;
    ModelNetwork& network_;
    const double rate_;
    Observer observer_;
    bool isUp_ = true;
    uint64_t lives_ = 0;
    Life life_;
};

} // namespace trefoilwing
