#include "Dispatch/SubmissionCoordinator.h"

#include "Dispatch/SubmissionRules.h"

#include <absl/hash/hash.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace trefoilwing {

namespace {

    constexpr absl::Duration forwardTimeout = absl::Seconds(3);
    /// Time allowed for the transfer of a query and its answer, in addition to the wait that the query asks for.
    constexpr absl::Duration replyAllowance = absl::Seconds(1);
    constexpr absl::Duration recordRetryInterval = absl::Milliseconds(500);
    /// Retention of the outcome of a request without an id, which nobody can query later.
    constexpr absl::Duration anonymousRetention = absl::Seconds(1);
    /// Prefix of the generated ids; callers' ids must not start with it.
    constexpr char anonymousPrefix[] = "~";

    Error drainingError()
    {
        return Error { ErrorCode::Draining, "This entry is shutting down and takes nothing new; send it to another entry.", Verdict::NotRun };
    }

    Error noConfigurationError()
    {
        return Error { ErrorCode::Unavailable, "This entry has no configuration yet; ask again or ask another entry. An earlier try may have been taken.", Verdict::MayHaveRun };
    }

    Error unreachableHomeError(const DataCentreId& home)
    {
        return Error { ErrorCode::Unavailable, absl::StrCat("Data centre ", home.value(), ", which keeps this backer's submissions, can't be reached. An earlier try may have been taken there."), Verdict::MayHaveRun };
    }

    /// @return the state of a submission whose outputs were lost with its owner.
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

SubmissionCoordinator::SubmissionCoordinator(SubmissionCoordinatorPorts ports)
    : ports_(ports)
    , forwards_(ports.directory.self().incarnation.value())
{
}

void SubmissionCoordinator::submit(Submission submission, StateCallback done)
{
    const absl::Time now = ports_.clock.now();
    const auto declaration = ports_.declarations.find(submission.id.service);
    applyDefaultDeadline(declaration.get(), submission, now);
    if (const auto error = validationError(declaration.get(), submission))
        return done(*error);
    if (isAnonymous(submission.id))
        return done(Error { ErrorCode::Malformed, absl::StrCat("Ids that begin with '", anonymousPrefix, "' are reserved; use another id."), Verdict::NotRun });
    const DataCentreId& home = findBacker(*declaration, submission.id.backer)->home;
    if (home == ports_.directory.dataCentre())
        submitLocally(*declaration, submission, done);
    else
        forward(home, std::move(submission), std::move(done));
}

void SubmissionCoordinator::request(Submission submission, StateCallback done)
{
    const absl::Time now = ports_.clock.now();
    const auto declaration = ports_.declarations.find(submission.id.service);
    applyDefaultDeadline(declaration.get(), submission, now);
    if (!ports_.declarations.hasConfiguration())
        return done(Error { ErrorCode::Unavailable, "This entry has no configuration yet; try again or use another entry.", Verdict::NotRun });
    if (const auto error = validationError(declaration.get(), submission))
        return done(*error);
    if (const auto error = admissionError(submission))
        return done(*error);
    const SubmissionKey key = submission.id;
    StateNotices notices;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        shard.table.admit(
            key, digestOf(submission), anonymousRetention, [](const SubmissionState&) {}, notices);
        shard.table.setRunning(key, notices);
        shard.table.watch(key, submission.deadline + replyAllowance, std::move(done), notices);
    }
    notices.deliver();
    ports_.runner.run(std::move(submission));
}

void SubmissionCoordinator::awaitOutcome(const SubmissionKey& key, absl::Duration maxWait, StateCallback done)
{
    queryState(StateQuery { key, maxWait, false }, std::move(done));
}

void SubmissionCoordinator::cancel(const SubmissionKey& key, StateCallback done)
{
    queryState(StateQuery { key, forwardTimeout, true }, std::move(done));
}

void SubmissionCoordinator::queryState(const StateQuery& stateQuery, StateCallback done)
{
    if (queryLocally(stateQuery, done))
        return;
    const auto declaration = ports_.declarations.find(stateQuery.key.service);
    const BackerDeclaration* backer = declaration ? findBacker(*declaration, stateQuery.key.backer) : nullptr;
    if (!ports_.declarations.hasConfiguration())
        return done(noConfigurationError());
    // The submission may have run before the declaration was changed, so the verdict is MayHaveRun.
    if (!backer)
        return done(Error { declaration ? ErrorCode::UnknownBacker : ErrorCode::UnknownService, "The service or the backer isn't declared here.", Verdict::MayHaveRun });
    if (backer->home == ports_.directory.dataCentre())
        return queryByLedger(stateQuery, done);
    const auto entry = ports_.directory.entryIn(backer->home);
    if (!entry)
        return done(unreachableHomeError(backer->home));
    queryPeer(*entry, stateQuery, unreachableHomeError(backer->home), std::move(done));
}

CallerKey SubmissionCoordinator::nextRequestKey()
{
    const DaemonRun self = ports_.directory.self();
    return CallerKey { absl::StrCat(anonymousPrefix, self.daemon.value(), "-", self.incarnation.value(), "-", ++lastRequest_) };
}

void SubmissionCoordinator::jobDecided(const SubmissionKey& key, JobOutcome outcome)
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

void SubmissionCoordinator::submissionForwarded(const DaemonId& from, const ForwardedSubmission& forwarded)
{
    const auto reply = [this, from, request = forwarded.request](const SubmissionState& state) {
        ports_.peers.send(from, ForwardReply { request, state });
    };
    const Submission& submission = forwarded.submission;
    const auto declaration = ports_.declarations.find(submission.id.service);
    if (const auto error = validationError(declaration.get(), submission))
        return reply(*error);
    // Forwarded only once: entries that disagree on the home would otherwise forward it in a loop.
    if (findBacker(*declaration, submission.id.backer)->home != ports_.directory.dataCentre())
        return reply(Error { ErrorCode::Unavailable, "The backer's home has changed; try again.", Verdict::MayHaveRun });
    submitLocally(*declaration, submission, reply);
}

void SubmissionCoordinator::outcomeQueried(const DaemonId& from, const OutcomeQuery& asked)
{
    const auto reply = [this, from, request = asked.request](const SubmissionState& state) {
        ports_.peers.send(from, ForwardReply { request, state });
    };
    const StateQuery stateQuery { asked.submission, asked.maxWait, asked.cancels };
    if (!queryLocally(stateQuery, reply))
        queryByLedger(stateQuery, reply);
}

void SubmissionCoordinator::forwardAnswered(const ForwardReply& answer)
{
    StateCallback callback;
    {
        MutexLock lock(forwardsMutex_);
        callback = forwards_.take(answer.request);
    }
    if (callback)
        callback(answer.state);
}

size_t SubmissionCoordinator::openCount() const
{
    size_t count = 0;
    for (const Shard& shard : shards_) {
        MutexLock lock(shard.mutex);
        count += shard.table.openCount();
    }
    return count;
}

size_t SubmissionCoordinator::unfetchedCount() const
{
    size_t count = 0;
    for (const Shard& shard : shards_) {
        MutexLock lock(shard.mutex);
        count += shard.table.unfetchedCount();
    }
    return count;
}

absl::Time SubmissionCoordinator::pump(absl::Time now)
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
    retryRecordings(now);
    MutexLock lock(retriesMutex_);
    return std::min(next, nextRetry_);
}

SubmissionCoordinator::Shard& SubmissionCoordinator::shardOf(const SubmissionKey& key)
{
    return shards_[absl::Hash<SubmissionKey>()(key) % shardCount];
}

bool SubmissionCoordinator::isAnonymous(const SubmissionKey& key)
{
    return absl::StartsWith(key.key.value(), anonymousPrefix);
}

std::optional<Error> SubmissionCoordinator::validationError(const ServiceDeclaration* declaration, const Submission& submission) const
{
    if (!ports_.declarations.hasConfiguration())
        return noConfigurationError();
    const Result<Done> checked = checkSubmission(declaration, submission);
    const Error* error = errorOf(checked);
    return error ? std::optional(*error) : std::nullopt;
}

std::optional<Error> SubmissionCoordinator::admissionError(const Submission& submission) const
{
    if (isDraining_)
        return drainingError();
    if (submission.deadline <= ports_.clock.now())
        return Error { ErrorCode::PastDeadline, "The deadline had passed when the request came; nothing was started.", Verdict::NotRun };
    return std::nullopt;
}

void SubmissionCoordinator::joinExisting(const Submission& submission, const Error& admissionFailure, const StateCallback& done)
{
    ports_.ledger.lookUp(submission.id, [this, submission, admissionFailure, done](const Result<std::optional<ClaimHolder>>& found) {
        if (const Error* error = errorOf(found))
            return done(*error);
        const std::optional<ClaimHolder>& holder = *valueOf(found);
        if (!holder)
            return done(admissionFailure);
        if (holder->digest != digestOf(submission))
            return done(conflictError());
        queryOwner(StateQuery { submission.id, absl::ZeroDuration(), false }, *holder, done);
    });
}

void SubmissionCoordinator::submitLocally(const ServiceDeclaration& declaration, const Submission& submission, const StateCallback& done)
{
    const SubmissionKey& key = submission.id;
    const Digest digest = digestOf(submission);
    const std::optional<Error> admissionFailure = admissionError(submission);
    StateNotices notices;
    std::optional<SubmissionTable::Admission> admission;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        if (!admissionFailure || shard.table.stageOf(key))
            admission = shard.table.admit(key, digest, declaration.retention, done, notices);
    }
    notices.deliver();
    if (!admission)
        joinExisting(submission, *admissionFailure, done);
    else if (*admission == SubmissionTable::Admission::IsNew)
        ports_.ledger.claim(key, digest, declaration.retention, [this, submission](const ClaimReply& reply) { claimAnswered(submission, reply); });
}

void SubmissionCoordinator::claimAnswered(const Submission& submission, const ClaimReply& reply)
{
    if (const Error* error = std::get_if<Error>(&reply))
        failClaim(submission.id, *error);
    else if (const ClaimHolder* holder = std::get_if<ClaimHolder>(&reply))
        claimHeld(submission, *holder);
    else
        claimGranted(submission);
}

void SubmissionCoordinator::claimGranted(const Submission& submission)
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

void SubmissionCoordinator::claimHeld(const Submission& submission, const ClaimHolder& holder)
{
    if (holder.digest != digestOf(submission))
        return failClaim(submission.id, conflictError());
    // The ledger already has a claim: the waiting callers are notified that the submission was accepted and query
    // its outcome from there. This includes a claim of this same process: if it isn't in the table, it was abandoned
    // before it was committed, and the ledger decides it as not run, so it must not be started now.
    StateNotices notices;
    std::vector<StateCallback> accepted;
    {
        Shard& shard = shardOf(submission.id);
        MutexLock lock(shard.mutex);
        accepted = shard.table.release(submission.id);
    }
    for (StateCallback& callback : accepted) {
        if (holder.outcome)
            queryOwner(StateQuery { submission.id, absl::ZeroDuration(), false }, holder, std::move(callback));
        else
            notices.add(std::move(callback), StillRunning {});
    }
    notices.deliver();
}

void SubmissionCoordinator::failClaim(const SubmissionKey& key, const Error& error)
{
    StateNotices notices;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        shard.table.failClaim(key, error, notices);
    }
    notices.deliver();
}

void SubmissionCoordinator::forward(const DataCentreId& home, Submission submission, StateCallback done)
{
    const auto entry = ports_.directory.entryIn(home);
    if (!entry)
        return done(unreachableHomeError(home));
    RequestId request;
    {
        MutexLock lock(forwardsMutex_);
        request = forwards_.add(ports_.clock.now() + forwardTimeout, unreachableHomeError(home), std::move(done));
    }
    signal_.raise();
    ports_.peers.send(*entry, ForwardedSubmission { request, std::move(submission) });
}

void SubmissionCoordinator::queryByLedger(const StateQuery& stateQuery, const StateCallback& done)
{
    ports_.ledger.lookUp(stateQuery.key, [this, stateQuery, done](const Result<std::optional<ClaimHolder>>& found) {
        if (const Error* error = errorOf(found))
            return done(*error);
        const std::optional<ClaimHolder>& holder = *valueOf(found);
        if (!holder)
            return done(Error { ErrorCode::UnknownSubmission, "No submission with this id is known here; it may be past its retention.", Verdict::MayHaveRun });
        queryOwner(stateQuery, *holder, done);
    });
}

void SubmissionCoordinator::queryOwner(const StateQuery& stateQuery, const ClaimHolder& holder, StateCallback done)
{
    const DaemonRun& owner = holder.owner;
    const bool isRemoteOwner = owner != ports_.directory.self() && ports_.directory.isAlive(owner);
    if (isRemoteOwner) {
        const SubmissionState stateOnTimeout = holder.outcome ? stateWithoutAnswer(*holder.outcome) : SubmissionState { StillRunning {} };
        return queryPeer(owner.daemon, stateQuery, stateOnTimeout, std::move(done));
    }
    if (queryLocally(stateQuery, done))
        return;
    // The owner is presumed dead. The submission counts as running until the ledger has recorded its outcome.
    done(holder.outcome ? stateWithoutAnswer(*holder.outcome) : SubmissionState { StillRunning {} });
}

void SubmissionCoordinator::queryPeer(const DaemonId& entry, const StateQuery& stateQuery, SubmissionState stateOnTimeout, StateCallback done)
{
    RequestId request;
    {
        MutexLock lock(forwardsMutex_);
        request = forwards_.add(ports_.clock.now() + stateQuery.maxWait + replyAllowance, std::move(stateOnTimeout), std::move(done));
    }
    signal_.raise();
    ports_.peers.send(entry, OutcomeQuery { request, stateQuery.key, stateQuery.maxWait, stateQuery.cancels });
}

bool SubmissionCoordinator::queryLocally(const StateQuery& stateQuery, const StateCallback& done)
{
    StateNotices notices;
    bool isKnown;
    {
        Shard& shard = shardOf(stateQuery.key);
        MutexLock lock(shard.mutex);
        isKnown = shard.table.watch(stateQuery.key, ports_.clock.now() + stateQuery.maxWait, done, notices);
    }
    if (isKnown)
        signal_.raise();
    if (isKnown && stateQuery.cancels)
        ports_.runner.cancel(stateQuery.key);
    notices.deliver();
    return isKnown;
}

void SubmissionCoordinator::recordOutcome(const SubmissionKey& key)
{
    std::optional<RecordedOutcome> record;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        if (const JobOutcome* outcome = shard.table.outcomeToRecord(key))
            record = recordOf(*outcome);
    }
    if (record)
        ports_.ledger.decide(key, *record, [this, key](const Result<RecordedOutcome>& recorded) { outcomeRecorded(key, recorded); });
}

void SubmissionCoordinator::outcomeRecorded(const SubmissionKey& key, const Result<RecordedOutcome>& recorded)
{
    if (errorOf(recorded)) {
        {
            MutexLock lock(retriesMutex_);
            unrecorded_.push_back(key);
            nextRetry_ = std::min(nextRetry_, ports_.clock.now() + recordRetryInterval);
        }
        signal_.raise();
        return;
    }
    const RecordedOutcome& finalOutcome = *valueOf(recorded);
    SubmissionState state;
    {
        Shard& shard = shardOf(key);
        MutexLock lock(shard.mutex);
        const JobOutcome* own = shard.table.outcomeToRecord(key);
        if (!own)
            return;
        state = finalOutcome == recordOf(*own) ? stateOf(*own) : stateWithoutAnswer(finalOutcome);
    }
    publish(key, state);
}

void SubmissionCoordinator::publish(const SubmissionKey& key, const SubmissionState& state)
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

void SubmissionCoordinator::retryRecordings(absl::Time now)
{
    std::vector<SubmissionKey> due;
    {
        MutexLock lock(retriesMutex_);
        if (now < nextRetry_)
            return;
        nextRetry_ = absl::InfiniteFuture();
        due = std::exchange(unrecorded_, {});
    }
    for (const SubmissionKey& key : due)
        recordOutcome(key);
}

} // namespace trefoilwing
