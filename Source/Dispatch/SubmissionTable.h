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

/// Callbacks with the state that each is to be told, once no lock is held.
class StateNotices {
public:
    void add(CallerOperations::StateCallback callback, const SubmissionState& state) { notices_.emplace_back(std::move(callback), state); }
    void add(std::vector<CallerOperations::StateCallback>&& callbacks, const SubmissionState& state);

    /// Calls all callbacks. No lock may be held.
    void deliver();

private:
    std::vector<std::pair<CallerOperations::StateCallback, SubmissionState>> notices_;
};

/// The submissions that this entry took or joined, with those who wait for them.
///
/// A decision object that holds one part of all submissions; its user has the lock.
class SubmissionTable {
public:
    enum class Stage {
        /// The claim isn't durable yet.
        Claiming,
        Running,
        /// The outcome is known here and isn't recorded in the ledger yet.
        Recording,
        Decided,
    };

    enum class Admission {
        /// The submission is new here and has to be claimed.
        IsNew,
        /// It was here before; the callback gets its state.
        IsKnown,
    };

    /// @param mostAnswerBytes how much of published answers is kept. The oldest go first; of those the verdict is kept.
    explicit SubmissionTable(Bytes mostAnswerBytes = defaultAnswerBytes())
        : mostAnswerBytes_(mostAnswerBytes)
    {
    }

    /// Takes a submission or joins it to the one with the same id.
    Admission admit(const SubmissionKey&, Digest, absl::Duration retention, CallerOperations::StateCallback accepted, StateNotices&);

    /// Ends the claiming: the submission runs here.
    void setRunning(const SubmissionKey&, StateNotices&);

    /// Ends the claiming with an error; the submission isn't kept.
    void refuse(const SubmissionKey&, const Error&, StateNotices&);

    /// Ends the claiming since another entry holds the submission; it isn't kept here.
    /// @return those who wait to hear that it was taken.
    std::vector<CallerOperations::StateCallback> release(const SubmissionKey&);

    /// Keeps an outcome while the ledger records it.
    /// @return whether the submission ran here and had no outcome yet.
    bool setRecording(const SubmissionKey&, JobOutcome);
    const JobOutcome* recordedOutcome(const SubmissionKey&) const;

    /// Publishes the outcome that stands. Its answer is kept for the submission's retention.
    void publish(const SubmissionKey&, const SubmissionState&, absl::Time now, StateNotices&);

    /// Adds a watch, or tells the state at once where it is decided.
    /// @return whether the submission is known here.
    bool watch(const SubmissionKey&, absl::Time until, CallerOperations::StateCallback, StateNotices&);

    std::optional<Stage> stageOf(const SubmissionKey&) const;

    /// Ends the watches whose patience is over and forgets outcomes past their retention.
    void tick(absl::Time now, StateNotices&);
    absl::Time nextWakeup() const;

    /// @return how many submissions have no published outcome yet.
    size_t openCount() const { return openCount_; }
    /// @return how many outcomes nobody has been told yet.
    size_t untoldCount() const { return untold_.size(); }

private:
    struct Watch {
        uint64_t number = 0;
        CallerOperations::StateCallback callback;
    };

    struct Entry {
        Stage stage = Stage::Claiming;
        Digest digest;
        absl::Duration retention;
        /// Those who wait to hear that the submission was taken.
        std::vector<CallerOperations::StateCallback> accepted;
        std::vector<Watch> watches;
        std::optional<JobOutcome> unrecorded;
        SubmissionState state;
        /// The answer's place among those kept, and its size; 0 where none is kept.
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
    absl::btree_set<std::pair<absl::Time, std::pair<SubmissionKey, uint64_t>>> watchEnds_;
    absl::btree_set<std::pair<absl::Time, SubmissionKey>> expiries_;
    absl::btree_set<SubmissionKey> untold_;
    Bytes mostAnswerBytes_;
    /// The submissions whose answers are kept, oldest first.
    std::map<uint64_t, SubmissionKey> answers_;
    uint64_t lastAnswer_ = 0;
    uint64_t answerBytes_ = 0;
    uint64_t lastWatch_ = 0;
    size_t openCount_ = 0;
};

} // namespace trefoilwing
