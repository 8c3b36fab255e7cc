#include "Dispatch/SubmissionDesk.h"

#include "Dispatch/SubmissionRules.h"

#include <absl/hash/hash.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace trefoilwing {

namespace {

    constexpr absl::Duration forwardTimeout = absl::Seconds(3);
    /// What an answer may take on its way, beyond the patience of the question.
    constexpr absl::Duration answerAllowance = absl::Seconds(1);
    constexpr absl::Duration recordRepeatInterval = absl::Milliseconds(500);
    /// How long the outcome of a request without an id is kept; nobody can ask for it again.
    constexpr absl::Duration anonymousRetention = absl::Seconds(1);
    /// Begins the ids made here; callers' ids may not begin so.
    constexpr char anonymousPrefix[] = "~";

    Error drainingError()
    {
        return Error { ErrorCode::Draining, "This entry is shutting down and takes nothing new; send it to another entry.", Verdict::NotRun };
    }

    Error noConfiguration()
    {
        return Error { ErrorCode::Unavailable, "This entry has no configuration yet; ask again or ask another entry. An earlier try may have been taken.", Verdict::MayHaveRun };
    }

    Error unreachableHome(const DataCentreId& home)
    {
        return Error { ErrorCode::Unavailable, absl::StrCat("Data centre ", home.value(), ", which keeps this backer's submissions, can't be reached. An earlier try may have been taken there."), Verdict::MayHaveRun };
    }

    /// @return the state of a submission whose owner's answer can't be had any more.
    SubmissionState stateWithoutAnswer(const RecordedOutcome& outcome)
    {
        if (outcome.isComplete)
            return Error { ErrorCode::Lost, "The job ran to its end; its answer was lost with the entry that held it.", Verdict::Ran };
        return Error { ErrorCode::Lost, "The job failed; the entry that held it is gone.", outcome.verdict };
    }

    RecordedOutcome recordOf(const JobOutcome& outcome)
    {
        return RecordedOutcome { verdictOf(outcome), valueOf(outcome) != nullptr };
    }

    SubmissionState stateOf(const JobOutcome& outcome)
    {
        return std::visit([](const auto& value) { return SubmissionState { value }; }, outcome);
    }

} // namespace

SubmissionDesk::SubmissionDesk(DeskPorts ports)
    : ports_(ports)
{
}

void SubmissionDesk::submit(Submission submission, StateCallback done)
{
    const absl::Time now = ports_.clock.now();
    const auto declaration = ports_.declarations.find(submission.id.service);
    applyDefaultDeadline(declaration.get(), submission, now);
    if (const auto error = contentError(declaration.get(), submission))
        return done(*error);
    if (isAnonymous(submission.id))
        return done(Error { ErrorCode::Malformed, absl::StrCat("Ids that begin with '", anonymousPrefix, "' are reserved; use another id."), Verdict::NotRun });
    const DataCentreId& home = findBacker(*declaration, submission.id.backer)->home;
    if (home == ports_.directory.dataCentre())
        submitHere(*declaration, submission, done);
    else
        forward(home, std::move(submission), std::move(done));
}

void SubmissionDesk::request(Submission submission, StateCallback done)
{
    const absl::Time now = ports_.clock.now();
    const auto declaration = ports_.declarations.find(submission.id.service);
    applyDefaultDeadline(declaration.get(), submission, now);
    if (!ports_.declarations.hasConfiguration())
        return done(Error { ErrorCode::Unavailable, "This entry has no configuration yet; try again or use another entry.", Verdict::NotRun });
    if (const auto error = contentError(declaration.get(), submission))
        return done(*error);
    if (const auto error = newcomerError(submission))
        return done(*error);
    const SubmissionKey key = submission.id;
    StateNotices notices;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        shard.table.admit(
            key, digestOf(submission), anonymousRetention, [](const SubmissionState&) {}, notices);
        shard.table.setRunning(key, notices);
        shard.table.watch(key, submission.deadline + answerAllowance, std::move(done), notices);
    }
    notices.deliver();
    ports_.runner.run(std::move(submission));
}

void SubmissionDesk::awaitOutcome(const SubmissionKey& key, absl::Duration patience, StateCallback done)
{
    ask(Question { key, patience, false }, std::move(done));
}

void SubmissionDesk::cancel(const SubmissionKey& key, StateCallback done)
{
    ask(Question { key, forwardTimeout, true }, std::move(done));
}

void SubmissionDesk::ask(const Question& question, StateCallback done)
{
    if (askHere(question, done))
        return;
    const auto declaration = ports_.declarations.find(question.key.service);
    const BackerDeclaration* backer = declaration ? findBacker(*declaration, question.key.backer) : nullptr;
    if (!ports_.declarations.hasConfiguration())
        return done(noConfiguration());
    // A question about a submission that may have run before the declaration was changed.
    if (!backer)
        return done(Error { declaration ? ErrorCode::UnknownBacker : ErrorCode::UnknownService, "The service or the backer isn't declared here.", Verdict::MayHaveRun });
    if (backer->home == ports_.directory.dataCentre())
        return askByLedger(question, done);
    const auto entry = ports_.directory.entryIn(backer->home);
    if (!entry)
        return done(unreachableHome(backer->home));
    query(*entry, question, unreachableHome(backer->home), std::move(done));
}

CallerKey SubmissionDesk::nextRequestKey()
{
    const DaemonRun self = ports_.directory.self();
    return CallerKey { absl::StrCat(anonymousPrefix, self.daemon.value(), "-", self.incarnation.value(), "-", ++lastRequest_) };
}

void SubmissionDesk::jobDecided(const SubmissionKey& key, JobOutcome outcome)
{
    if (isAnonymous(key))
        return publish(key, stateOf(outcome));
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        if (!shard.table.setRecording(key, std::move(outcome)))
            return;
    }
    recordOutcome(key);
}

void SubmissionDesk::submissionForwarded(const DaemonId& from, const ForwardedSubmission& forwarded)
{
    const auto reply = [this, from, request = forwarded.request](const SubmissionState& state) {
        ports_.peers.send(from, ForwardReply { request, state });
    };
    const Submission& submission = forwarded.submission;
    const auto declaration = ports_.declarations.find(submission.id.service);
    if (const auto error = contentError(declaration.get(), submission))
        return reply(*error);
    // Sent on once only, so that two views of the home can't pass it to and fro.
    if (findBacker(*declaration, submission.id.backer)->home != ports_.directory.dataCentre())
        return reply(Error { ErrorCode::Unavailable, "The backer's home has changed; try again.", Verdict::MayHaveRun });
    submitHere(*declaration, submission, reply);
}

void SubmissionDesk::outcomeQueried(const DaemonId& from, const OutcomeQuery& asked)
{
    const auto reply = [this, from, request = asked.request](const SubmissionState& state) {
        ports_.peers.send(from, ForwardReply { request, state });
    };
    const Question question { asked.submission, asked.maxWait, asked.cancels };
    if (!askHere(question, reply))
        askByLedger(question, reply);
}

void SubmissionDesk::forwardAnswered(const ForwardReply& answer)
{
    StateCallback callback;
    {
        MutexLock lock(forwardsMutex_);
        callback = forwards_.take(answer.request);
    }
    if (callback)
        callback(answer.state);
}

size_t SubmissionDesk::openCount() const
{
    size_t count = 0;
    for (const Shard& shard : shards_) {
        MutexLock lock(shard.mutex);
        count += shard.table.openCount();
    }
    return count;
}

size_t SubmissionDesk::untoldCount() const
{
    size_t count = 0;
    for (const Shard& shard : shards_) {
        MutexLock lock(shard.mutex);
        count += shard.table.untoldCount();
    }
    return count;
}

absl::Time SubmissionDesk::pump(absl::Time now)
{
    absl::Time next = absl::InfiniteFuture();
    StateNotices notices;
    for (Shard& shard : shards_) {
        MutexLock lock(shard.mutex);
        shard.table.tick(now, notices);
        next = std::min(next, shard.table.nextWakeup());
    }
    {
        MutexLock lock(forwardsMutex_);
        for (auto& [callback, state] : forwards_.expire(now))
            notices.add(std::move(callback), state);
        next = std::min(next, forwards_.nextWakeup());
    }
    notices.deliver();
    repeatRecordings(now);
    MutexLock lock(repeatsMutex_);
    return std::min(next, nextRepeat_);
}

SubmissionDesk::Shard& SubmissionDesk::shardOf(const SubmissionKey& key)
{
    return shards_[absl::Hash<SubmissionKey>()(key) % shardCount];
}

bool SubmissionDesk::isAnonymous(const SubmissionKey& key)
{
    return absl::StartsWith(key.key.value(), anonymousPrefix);
}

std::optional<Error> SubmissionDesk::contentError(const ServiceDeclaration* declaration, const Submission& submission) const
{
    if (!ports_.declarations.hasConfiguration())
        return noConfiguration();
    const Result<Done> checked = checkSubmission(declaration, submission);
    const Error* error = errorOf(checked);
    return error ? std::optional(*error) : std::nullopt;
}

std::optional<Error> SubmissionDesk::newcomerError(const Submission& submission) const
{
    if (isDraining_)
        return drainingError();
    if (submission.deadline <= ports_.clock.now())
        return Error { ErrorCode::PastDeadline, "The deadline had passed when the request came; nothing was started.", Verdict::NotRun };
    return std::nullopt;
}

void SubmissionDesk::joinOnly(const Submission& submission, const Error& refusal, const StateCallback& done)
{
    ports_.ledger.lookUp(submission.id, [this, submission, refusal, done](const Result<std::optional<ClaimHolder>>& found) {
        if (const Error* error = errorOf(found))
            return done(*error);
        const std::optional<ClaimHolder>& holder = *valueOf(found);
        if (!holder)
            return done(refusal);
        if (holder->digest != digestOf(submission))
            return done(conflictError());
        askOwner(Question { submission.id, absl::ZeroDuration(), false }, *holder, done);
    });
}

void SubmissionDesk::submitHere(const ServiceDeclaration& declaration, const Submission& submission, const StateCallback& done)
{
    const SubmissionKey& key = submission.id;
    const Digest digest = digestOf(submission);
    const std::optional<Error> refusal = newcomerError(submission);
    StateNotices notices;
    std::optional<SubmissionTable::Admission> admission;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        if (!refusal || shard.table.stageOf(key))
            admission = shard.table.admit(key, digest, declaration.retention, done, notices);
    }
    notices.deliver();
    if (!admission)
        joinOnly(submission, *refusal, done);
    else if (*admission == SubmissionTable::Admission::IsNew)
        ports_.ledger.claim(key, digest, declaration.retention, [this, submission](const ClaimReply& reply) { claimAnswered(submission, reply); });
}

void SubmissionDesk::claimAnswered(const Submission& submission, const ClaimReply& reply)
{
    if (const Error* error = std::get_if<Error>(&reply))
        refuse(submission.id, *error);
    else if (const ClaimHolder* holder = std::get_if<ClaimHolder>(&reply))
        claimHeld(submission, *holder);
    else
        claimGranted(submission);
}

void SubmissionDesk::claimGranted(const Submission& submission)
{
    StateNotices notices;
    {
        Shard& shard = shardOf(submission.id);
        MutexLock lock(shard.mutex);
        shard.table.setRunning(submission.id, notices);
    }
    ports_.runner.run(submission);
    notices.deliver();
}

void SubmissionDesk::claimHeld(const Submission& submission, const ClaimHolder& holder)
{
    if (holder.digest != digestOf(submission))
        return refuse(submission.id, conflictError());
    // Joined by the ledger: those who wait hear that it was taken and ask on from there. That goes for a claim
    // of this very run too: one that isn't in the table was given up before it was committed, and the ledger
    // decides it as not run, so it must not start now.
    StateNotices notices;
    std::vector<StateCallback> accepted;
    {
        Shard& shard = shardOf(submission.id);
        MutexLock lock(shard.mutex);
        accepted = shard.table.release(submission.id);
    }
    for (StateCallback& callback : accepted) {
        if (holder.outcome)
            askOwner(Question { submission.id, absl::ZeroDuration(), false }, holder, std::move(callback));
        else
            notices.add(std::move(callback), StillRunning {});
    }
    notices.deliver();
}

void SubmissionDesk::refuse(const SubmissionKey& key, const Error& error)
{
    StateNotices notices;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        shard.table.refuse(key, error, notices);
    }
    notices.deliver();
}

void SubmissionDesk::forward(const DataCentreId& home, Submission submission, StateCallback done)
{
    const auto entry = ports_.directory.entryIn(home);
    if (!entry)
        return done(unreachableHome(home));
    RequestId request;
    {
        MutexLock lock(forwardsMutex_);
        request = forwards_.add(ports_.clock.now() + forwardTimeout, unreachableHome(home), std::move(done));
    }
    signal_.raise();
    ports_.peers.send(*entry, ForwardedSubmission { request, std::move(submission) });
}

void SubmissionDesk::askByLedger(const Question& question, const StateCallback& done)
{
    ports_.ledger.lookUp(question.key, [this, question, done](const Result<std::optional<ClaimHolder>>& found) {
        if (const Error* error = errorOf(found))
            return done(*error);
        const std::optional<ClaimHolder>& holder = *valueOf(found);
        if (!holder)
            return done(Error { ErrorCode::UnknownSubmission, "No submission with this id is known here; it may be past its retention.", Verdict::MayHaveRun });
        askOwner(question, *holder, done);
    });
}

void SubmissionDesk::askOwner(const Question& question, const ClaimHolder& holder, StateCallback done)
{
    const DaemonRun& owner = holder.owner;
    const bool isElsewhere = owner != ports_.directory.self() && ports_.directory.isAlive(owner);
    if (isElsewhere) {
        const SubmissionState unanswered = holder.outcome ? stateWithoutAnswer(*holder.outcome) : SubmissionState { StillRunning {} };
        return query(owner.daemon, question, unanswered, std::move(done));
    }
    if (askHere(question, done))
        return;
    // The owner is gone. Until the ledger has recorded that, the submission counts as running.
    done(holder.outcome ? stateWithoutAnswer(*holder.outcome) : SubmissionState { StillRunning {} });
}

void SubmissionDesk::query(const DaemonId& entry, const Question& question, SubmissionState unanswered, StateCallback done)
{
    RequestId request;
    {
        MutexLock lock(forwardsMutex_);
        request = forwards_.add(ports_.clock.now() + question.patience + answerAllowance, std::move(unanswered), std::move(done));
    }
    signal_.raise();
    ports_.peers.send(entry, OutcomeQuery { request, question.key, question.patience, question.cancels });
}

bool SubmissionDesk::askHere(const Question& question, const StateCallback& done)
{
    StateNotices notices;
    bool isKnown;
    {
        Shard& shard = shardOf(question.key);
        MutexLock lock(shard.mutex);
        isKnown = shard.table.watch(question.key, ports_.clock.now() + question.patience, done, notices);
    }
    if (isKnown)
        signal_.raise();
    if (isKnown && question.cancels)
        ports_.runner.cancel(question.key);
    notices.deliver();
    return isKnown;
}

void SubmissionDesk::recordOutcome(const SubmissionKey& key)
{
    std::optional<RecordedOutcome> record;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        if (const JobOutcome* outcome = shard.table.recordedOutcome(key))
            record = recordOf(*outcome);
    }
    if (record)
        ports_.ledger.decide(key, *record, [this, key](const Result<RecordedOutcome>& recorded) { outcomeRecorded(key, recorded); });
}

void SubmissionDesk::outcomeRecorded(const SubmissionKey& key, const Result<RecordedOutcome>& recorded)
{
    if (errorOf(recorded)) {
        {
            MutexLock lock(repeatsMutex_);
            unrecorded_.push_back(key);
            nextRepeat_ = std::min(nextRepeat_, ports_.clock.now() + recordRepeatInterval);
        }
        signal_.raise();
        return;
    }
    const RecordedOutcome& standing = *valueOf(recorded);
    SubmissionState state;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        const JobOutcome* own = shard.table.recordedOutcome(key);
        if (!own)
            return;
        state = standing == recordOf(*own) ? stateOf(*own) : stateWithoutAnswer(standing);
    }
    publish(key, state);
}

void SubmissionDesk::publish(const SubmissionKey& key, const SubmissionState& state)
{
    StateNotices notices;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        shard.table.publish(key, state, ports_.clock.now(), notices);
    }
    notices.deliver();
    signal_.raise();
}

void SubmissionDesk::repeatRecordings(absl::Time now)
{
    std::vector<SubmissionKey> due;
    {
        MutexLock lock(repeatsMutex_);
        if (now < nextRepeat_)
            return;
        nextRepeat_ = absl::InfiniteFuture();
        due = std::exchange(unrecorded_, {});
    }
    for (const SubmissionKey& key : due)
        recordOutcome(key);
}

} // namespace trefoilwing
