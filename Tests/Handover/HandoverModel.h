#pragma once

#include "Control/FleetRegistry.h"
#include "Control/FleetState.h"
#include "Handover/ModelEntry.h"

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace trefoilwing {

/// Disturbances of a HandoverModel.
enum class Disturbance {
    /// The cell gets another owner, or the same one anew.
    Grant,
    /// Two nodes are cut off from each other for a while.
    CutPair,
    /// One node is cut off from all others for a while.
    CutNode,
    /// An entry and the minions are cut off from the other entry and the keepers for a while.
    CutSide,
    /// A minion crashes and starts again under its id.
    RestartMinion,
    /// A minion crashes, and another one starts at its address.
    ReplaceMinion,
    /// An entry stands still for a while.
    FreezeEntry,
    RestartEntry,
    /// The keepers have no leader for a while, so that what they propose is lost.
    LoseLeader,
    /// A keeper is killed, and forgets what its log doesn't hold.
    RestartKeeper,
    /// A minion leaves. The answer to its message may be lost, and it stays up for a while then.
    LeaveMinion,
};

/// A model of one cell: two keepers with a replicated log, two entries that own it in turn, the second of them in
/// another data centre or not, three minions, and callers that submit a job again if it was given up or their entry has restarted. It checks that no
/// task runs twice at the same time.
class HandoverModel {
public:
    explicit HandoverModel(uint64_t seed, CutMessages = CutMessages::Lost);

    /// Carries out a disturbance, with the nodes and times drawn by the seed.
    void disturb(Disturbance);
    /// Cuts an entry off the keepers for a short time. Meanwhile a minion is replaced, and the cell goes to the other entry and
    /// comes back.
    void missUpdates();
    /// Lets a minion report while the keepers have no leader. Later a keeper is killed, and the cell goes from the entry of its data
    /// centre to the other one before the minion has reported again.
    void forgetMinion();
    /// Lets a minion leave while the owner of its cell stands still and the cell goes to the entry of the other data centre.
    void leaveDuringHandover();
    /// Lets an entry stand still for longer than a claim lasts. Its callers leave meanwhile and submit their jobs to another
    /// cell, and the closes of their connections arrive late.
    void leaveStoppedEntry();
    /// Lets time pass. Callers submit jobs meanwhile.
    void run(absl::Duration);

    /// @return the first violation with the disturbances before it; empty if there was none.
    const std::string& violation() const { return violation_; }
    size_t starts() const { return starts_; }
    size_t completed() const { return completed_; }

private:
    struct EntryHost {
        std::unique_ptr<ModelEntry> process;
        bool isFrozen = false;
        /// What waits for the process to go on, by where it comes from. It is carried out in order for each source.
        std::map<std::string, std::vector<ModelNetwork::Action>> held;
    };

    using LogCommand = std::variant<GrantRecord, MinionRecord, MinionGoneRecord>;

    struct KeeperHost {
        std::unique_ptr<FleetRegistry> registry;
        /// What the log says up to the entry `applied`; it outlasts the process.
        FleetState state;
        size_t applied = 0;
        bool isUp = false;
    };

    void startKeeper(const std::string& name);
    void restartKeeper(const std::string& name, absl::Duration);
    /// Proposes a command to the log. It is lost if there is no leader.
    void propose(const LogCommand&);
    /// Has a keeper apply the log up to an entry, and tell its registry.
    void applyLog(const std::string& keeper, size_t upTo);
    void reportTo(const std::string& keeper, const MinionReport&);
    /// @param beside is carried out as the minion sends that it leaves.
    void leave(ModelMinion&, const ModelNetwork::Action& beside = {});
    void deleteMinion(const std::string& keeper, const MinionId&);
    /// @return the keeper that a minion reports to; empty if it reaches none.
    std::string keeperOf(const ModelMinion&) const;

    void startEntry(const std::string& name);
    void deliver(const DaemonId& from, const DaemonId& to, const PeerMessage&);
    /// @param source of the action, within which the order is kept; actions without one come in any order.
    void whenRunning(const DaemonRun&, ModelNetwork::Action, std::string source = {});
    void freeze(const std::string& entry, absl::Duration);
    void goOn(EntryHost&);
    void pumpEntry(const std::string& name);
    void pumpKeeper(const std::string& name);
    void reportMinion(size_t index);
    void submitJob();
    void submit(const JobKey&, uint32_t tasks, int attempts);
    void answered(const JobKey&, AnswerKind);
    /// @param where the address of the minion, or what stands for those of another cell.
    void started(const std::string& where, const ModelTask&);
    void ended(const std::string& where, const ModelTask&);
    void runInOtherCell(const JobKey&, uint32_t tasks);
    std::string anyNode();
    void grantTo(const std::string& owner);
    /// Cuts each node of a side off from each of the other.
    void cut(const std::vector<std::string>& side, const std::vector<std::string>& other, absl::Duration);
    std::vector<std::string> minionNames() const;
    ModelMinion& anyMinion() { return *minions_[network_.below(minions_.size())]; }
    void restartMinion(ModelMinion&, void (ModelMinion::*start)());
    void startMinion(ModelMinion&, void (ModelMinion::*start)());
    std::string disturbAs(Disturbance, absl::Duration);

    ModelNetwork network_;
    /// Where the second entry is. Keepers tell it all minions only if that is the data centre of the cell.
    const DataCentreId secondDataCentre_;
    ModelEntry::World world_;
    std::map<std::string, EntryHost> entries_;
    std::map<std::string, KeeperHost> keepers_;
    std::vector<std::unique_ptr<ModelMinion>> minions_;
    std::map<ModelTask, std::string> running_;
    std::map<JobKey, uint32_t> openJobs_;
    uint64_t incarnations_ = 0;
    std::vector<LogCommand> log_;
    absl::Time leaderlessUntil_ = absl::InfinitePast();
    uint64_t jobs_ = 0;
    uint64_t unorderedActions_ = 0;
    size_t starts_ = 0;
    size_t completed_ = 0;
    std::string story_;
    std::string violation_;
};

} // namespace trefoilwing
