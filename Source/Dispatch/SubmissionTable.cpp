#include "Dispatch/SubmissionTable.h"

#include "Dispatch/SubmissionRules.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// What a kept output takes besides its bytes.
    constexpr uint64_t outputOverheadBytes = 32;

} // namespace

void StateNotices::add(std::vector<CallerOperations::StateCallback>&& callbacks, const SubmissionState& state)
{
    for (CallerOperations::StateCallback& callback : callbacks)
        add(std::move(callback), state);
    callbacks.clear();
}

void StateNotices::deliver()
{
    for (auto& [callback, state] : std::exchange(notices_, {}))
        callback(state);
}

SubmissionTable::Admission SubmissionTable::admit(const SubmissionKey& key, Digest digest, absl::Duration retention, CallerOperations::StateCallback accepted, StateNotices& notices)
{
    const auto [found, isNew] = entries_.try_emplace(key);
    Entry& entry = found->second;
    if (isNew) {
        entry.digest = digest;
        entry.retention = retention;
        entry.accepted.push_back(std::move(accepted));
        ++openCount_;
        return Admission::IsNew;
    }
    if (entry.digest != digest)
        notices.add(std::move(accepted), conflictError());
    else if (entry.stage == Stage::Claiming)
        entry.accepted.push_back(std::move(accepted));
    else
        notices.add(std::move(accepted), entry.state);
    return Admission::IsKnown;
}

void SubmissionTable::setRunning(const SubmissionKey& key, StateNotices& notices)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return;
    found->second.stage = Stage::Running;
    notices.add(std::move(found->second.accepted), StillRunning {});
}

void SubmissionTable::refuse(const SubmissionKey& key, const Error& error, StateNotices& notices)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return;
    notices.add(std::move(found->second.accepted), error);
    for (Watch& watch : found->second.watches)
        notices.add(std::move(watch.callback), error);
    entries_.erase(found);
    --openCount_;
}

std::vector<CallerOperations::StateCallback> SubmissionTable::release(const SubmissionKey& key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return {};
    std::vector<CallerOperations::StateCallback> waiting = std::move(found->second.accepted);
    for (Watch& watch : found->second.watches)
        waiting.push_back(std::move(watch.callback));
    entries_.erase(found);
    --openCount_;
    return waiting;
}

bool SubmissionTable::setRecording(const SubmissionKey& key, JobOutcome outcome)
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.stage != Stage::Running)
        return false;
    found->second.stage = Stage::Recording;
    found->second.unrecorded = std::move(outcome);
    return true;
}

const JobOutcome* SubmissionTable::recordedOutcome(const SubmissionKey& key) const
{
    const auto found = entries_.find(key);
    return found != entries_.end() && found->second.unrecorded ? &*found->second.unrecorded : nullptr;
}

void SubmissionTable::publish(const SubmissionKey& key, const SubmissionState& state, absl::Time now, StateNotices& notices)
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.stage == Stage::Decided)
        return;
    Entry& entry = found->second;
    entry.stage = Stage::Decided;
    entry.state = state;
    entry.unrecorded.reset();
    --openCount_;
    notices.add(std::move(entry.accepted), state);
    if (entry.watches.empty())
        untold_.insert(key);
    for (Watch& watch : entry.watches)
        notices.add(std::move(watch.callback), state);
    entry.watches.clear();
    expiries_.emplace(now + entry.retention, key);
    keepAnswer(key, entry);
    dropOldAnswers();
}

bool SubmissionTable::watch(const SubmissionKey& key, absl::Time until, CallerOperations::StateCallback callback, StateNotices& notices)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return false;
    if (found->second.stage == Stage::Decided) {
        notices.add(std::move(callback), found->second.state);
        untold_.erase(key);
    } else {
        addWatch(key, found->second, until, std::move(callback));
    }
    return true;
}

std::optional<SubmissionTable::Stage> SubmissionTable::stageOf(const SubmissionKey& key) const
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? std::nullopt : std::optional(found->second.stage);
}

void SubmissionTable::tick(absl::Time now, StateNotices& notices)
{
    while (!watchEnds_.empty() && watchEnds_.begin()->first <= now) {
        const auto [key, number] = watchEnds_.begin()->second;
        watchEnds_.erase(watchEnds_.begin());
        const auto found = entries_.find(key);
        if (found == entries_.end())
            continue;
        std::vector<Watch>& watches = found->second.watches;
        const auto watch = std::find_if(watches.begin(), watches.end(), [number = number](const Watch& each) { return each.number == number; });
        if (watch == watches.end())
            continue;
        notices.add(std::move(watch->callback), StillRunning {});
        watches.erase(watch);
    }
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto expired = entries_.find(expiries_.begin()->second);
        if (expired != entries_.end()) {
            dropAnswer(expired->second);
            entries_.erase(expired);
        }
        untold_.erase(expiries_.begin()->second);
        expiries_.erase(expiries_.begin());
    }
}

absl::Time SubmissionTable::nextWakeup() const
{
    absl::Time next = absl::InfiniteFuture();
    if (!watchEnds_.empty())
        next = std::min(next, watchEnds_.begin()->first);
    if (!expiries_.empty())
        next = std::min(next, expiries_.begin()->first);
    return next;
}

void SubmissionTable::keepAnswer(const SubmissionKey& key, Entry& entry)
{
    const auto* answer = std::get_if<JobAnswer>(&entry.state);
    if (!answer)
        return;
    entry.answerNumber = ++lastAnswer_;
    for (const std::string& output : answer->outputs)
        entry.answerBytes += outputOverheadBytes + output.size();
    answerBytes_ += entry.answerBytes;
    answers_.emplace(entry.answerNumber, key);
}

void SubmissionTable::dropAnswer(Entry& entry)
{
    if (entry.answerNumber == 0)
        return;
    answers_.erase(entry.answerNumber);
    answerBytes_ -= entry.answerBytes;
    entry.answerNumber = 0;
    entry.answerBytes = 0;
}

void SubmissionTable::dropOldAnswers()
{
    // The newest stays whatever its size, so that its caller can fetch it.
    while (answerBytes_ > mostAnswerBytes_.value() && answers_.size() > 1) {
        const SubmissionKey key = answers_.begin()->second;
        Entry& entry = entries_.at(key);
        entry.state = Error { ErrorCode::Lost, "The job ran to its end; its answer is no longer kept here.", Verdict::Ran };
        untold_.erase(key);
        dropAnswer(entry);
    }
}

void SubmissionTable::addWatch(const SubmissionKey& key, Entry& entry, absl::Time until, CallerOperations::StateCallback callback)
{
    const uint64_t number = ++lastWatch_;
    entry.watches.push_back({ number, std::move(callback) });
    watchEnds_.emplace(until, std::make_pair(key, number));
}

} // namespace trefoilwing
