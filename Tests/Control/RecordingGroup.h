#pragma once

#include "Control/ConfigurationState.h"
#include "Control/GroupCluster.h"
#include "Control/LedgerState.h"

#include <map>
#include <string>
#include <vector>

namespace trefoilwing {

/// Checks the safety invariants of the replicated log across all members and the whole run.
class LogOracle {
public:
    /// Checks an entry that a member applied.
    void applied(const LogEntry&);
    void restored(LogIndex, Term);
    /// Checks that a submission is granted to only one owner.
    void granted(const SubmissionKey&, const DaemonRun&);
    /// Checks that a configuration version never changes its content.
    void published(ConfigurationVersion, Digest);
    void led(Epoch, Term, const MemberId&);

    bool holds() const { return violations_.empty(); }
    std::string violation() const { return holds() ? "" : violations_.front(); }
    LogIndex lastCommitted() const { return committed_.empty() ? LogIndex(0) : committed_.rbegin()->first; }
    size_t grants() const { return owners_.size(); }
    size_t versions() const { return versions_.size(); }

    /// Set in tests that lose whole groups, after which a log may start again from the beginning.
    bool mayStartAgain = false;

private:
    std::map<LogIndex, LogEntry> committed_;
    std::map<SubmissionKey, DaemonRun> owners_;
    std::map<ConfigurationVersion, Digest> versions_;
    std::map<std::pair<Epoch, Term>, MemberId> leaders_;
    std::vector<std::string> violations_;
};

/// A group that runs both state machines and reports to the oracle what it applies.
class RecordingGroup final : public ReplicatedGroup {
public:
    RecordingGroup(LogOracle&, LogSettings, JournalContent, GroupPorts);

    /// @return what ReplicatedLog::propose returned.
    bool proposeCommand(Command);
    /// Adds a daemon to those to which this member sends its requests to join.
    void addDaemon(const DaemonId&);
    std::optional<LedgerClaim> find(const SubmissionKey&) const;
    ConfigurationVersion version() const;
    size_t applied() const;
    bool wasRestored() const;

private:
    void applyEntry(const LogEntry&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void restoreState(const Snapshot&) override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::vector<SnapshotChunk> snapshotState() const override ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void retryPending(absl::Time) override { }
    void failPending(const Error&) override { }

    LogOracle& oracle_;
    LedgerState ledger_ ABSL_GUARDED_BY(mutex_);
    ConfigurationState configuration_ ABSL_GUARDED_BY(mutex_);
    size_t applied_ ABSL_GUARDED_BY(mutex_) = 0;
    bool wasRestored_ ABSL_GUARDED_BY(mutex_) = false;
};

/// @return a claim on the submission with the given number, by the owner with the given number.
ClaimRecord claimOf(uint64_t submission, uint64_t owner);

/// @return a change to a base version; its digest is the number of its content.
PublishRecord publishOf(uint64_t base, uint64_t content);

/// @return a cluster whose members are RecordingGroups. The oracle must outlive it.
std::unique_ptr<GroupCluster> makeRecordingCluster(LogOracle&, GroupCluster::Options);

/// Reports the current leaders to the oracle.
void checkLeaders(GroupCluster&, LogOracle&);

} // namespace trefoilwing
