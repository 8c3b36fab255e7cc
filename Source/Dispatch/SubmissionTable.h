#pragma once

#include "Model/Submission.h"
#include "Model/Units.h"
#include "Ports/CallerOperations.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace trefoilwing {

/// Collects callbacks with the states to pass to them, to be called once no lock is held.
class StateNotices {
public:
    void add(CallerOperations::StateCallback callback, const SubmissionState& state) { notices_.emplace_back(std::move(callback), state); }
    void add(std::vector<CallerOperations::StateCallback>&& callbacks, const SubmissionState& state);

    /// Calls all callbacks. The caller must not hold a lock.
    void deliver();

private:
    std::vector<std::pair<CallerOperations::StateCallback, SubmissionState>> notices_;
};

/// The submissions that this entry accepted, with the callbacks that wait for their states.
///
/// Holds one shard of the submissions and isn't thread-safe: its user holds the shard's lock.
class SubmissionTable {
public:
    enum class Stage {
        /// The claim isn't durable yet.
        Claiming,
        Running,
        /// The outcome is known here but not yet recorded in the ledger.
        Recording,
        Decided,
    };

    enum class Admission {
        /// The submission is new and has to be claimed.
        IsNew,
        /// The submission is already in the table; the callback gets its state.
        IsKnown,
    };

    /// @param maxAnswerBytes total size limit of kept answers. The oldest are dropped first; their verdict is kept.
    explicit SubmissionTable(Bytes maxAnswerBytes = defaultAnswerBytes())
        : maxAnswerBytes_(maxAnswerBytes)
    {
    }

    /// Adds a submission, or joins it to the one with the same id.
    Admission admit(const SubmissionKey&, Digest, absl::Duration retention, CallerOperations::StateCallback accepted, StateNotices&);

    /// Records that the claim succeeded: the submission runs here.
    void setRunning(const SubmissionKey&, StateNotices&);

    /// Records that the claim failed: passes the error to all callbacks and removes the submission.
    void failClaim(const SubmissionKey&, const Error&, StateNotices&);

    /// Removes a submission that another entry has claimed.
    /// @return the callbacks that wait for its state.
    std::vector<CallerOperations::StateCallback> release(const SubmissionKey&);

    /// Stores the outcome of a running submission while the ledger records it.
    /// @return whether the submission was running here without an outcome.
    bool setRecording(const SubmissionKey&, JobOutcome);
    const JobOutcome* outcomeToRecord(const SubmissionKey&) const;

    /// Publishes the final outcome. Its answer is kept for the submission's retention.
    void publish(const SubmissionKey&, const SubmissionState&, absl::Time now, StateNotices&);

    /// Adds a watch, or passes on the state immediately if the submission is decided.
    /// @return whether the submission is known here.
    bool watch(const SubmissionKey&, absl::Time until, CallerOperations::StateCallback, StateNotices&);

    std::optional<Stage> stageOf(const SubmissionKey&) const;

    /// Ends the watches that have timed out and removes outcomes past their retention.
    void tick(absl::Time now, StateNotices&);
    absl::Time nextWakeup() const;

    /// @return the number of submissions without a published outcome.
    size_t openCount() const { return openCount_; }
    /// @return the number of published outcomes that no caller has fetched.
    size_t unfetchedCount() const { return unfetched_.size(); }

private:
    struct Watch {
        uint64_t number = 0;
        CallerOperations::StateCallback callback;
    };

    struct Entry {
        Stage stage = Stage::Claiming;
        Digest digest;
        absl::Duration retention;
        /// The callbacks to call once the submission is accepted.
        std::vector<CallerOperations::StateCallback> accepted;
        std::vector<Watch> watches;
        std::optional<JobOutcome> unrecorded;
        SubmissionState state;
        /// The key in `answers_` and the size of the answer; 0 if it isn't kept.
        uint64_t answerNumber = 0;
        uint64_t answerBytes = 0;
    };

    static constexpr uint64_t defaultAnswerMebibytes = 8;
    static Bytes defaultAnswerBytes() { return Bytes(defaultAnswerMebibytes << 20U); }

    void keepAnswer(const SubmissionKey&, Entry&);
    void dropAnswer(Entry&);
    void dropOldAnswers();
    void addWatch(const SubmissionKey&, Entry&, absl::Time until, CallerOperations::StateCallback);

    absl::flat_hash_map<SubmissionKey, Entry> entries_;
    absl::btree_set<std::pair<absl::Time, std::pair<SubmissionKey, uint64_t>>> watchTimeouts_;
    absl::btree_set<std::pair<absl::Time, SubmissionKey>> expiries_;
    absl::btree_set<SubmissionKey> unfetched_;
    Bytes maxAnswerBytes_;
    /// The submissions with kept answers, oldest first.
    std::map<uint64_t, SubmissionKey> answers_;
    uint64_t lastAnswerNumber_ = 0;
    uint64_t answerBytes_ = 0;
    uint64_t lastWatchNumber_ = 0;
    size_t openCount_ = 0;
};

} // namespace trefoilwing
