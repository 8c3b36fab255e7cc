#include "Intake/JobCoordinator.h"

#include "Ports/MetricNames.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <utility>

namespace trefoilwing {

namespace {

    /// Time that the owner has to report a result after a job's deadline, before the entry answers on its own.
    constexpr absl::Duration ownerGracePeriod = absl::Milliseconds(30);

    /// Time that the answer needs to reach the caller; it is part of the caller's timeout.
    constexpr absl::Duration replyTransitTime = absl::Milliseconds(20);

    /// Time of silence after which open jobs of an owner are answered without its result. By then the owner has
    /// stopped this entry's jobs (after 0.8 s) and has been replaced (within about 1 s) unless it is partitioned.
    constexpr absl::Duration ownerTimeout = absl::Milliseconds(1500);

    /// Delay beyond a job's objective, as a fraction of the time that is left until the objective, at which owners still
    /// start it (DispatchPolicy::lateTolerance). Owners reject later offers.
    constexpr double lateTolerance = 0.3;

    constexpr std::array<std::string_view, 5> rejectionNames { "unstated", "expected_wait", "out_of_time", "evacuated", "no_grant" };

    struct ResultMapping {
        JobEnd end;
        AnswerKind kind;
        std::string_view name;
    };

    /// Maps the result that an owner reports to the callers' answer and to the outcome's name in log and metrics.
    constexpr std::array<ResultMapping, 5> resultMappings { {
        { JobEnd::Completed, AnswerKind::Completed, "completed" },
        { JobEnd::Failed, AnswerKind::Failed, "failed" },
        { JobEnd::Rejected, AnswerKind::Overloaded, "overloaded" },
        { JobEnd::Impossible, AnswerKind::Unavailable, "impossible" },
        { JobEnd::GivenUp, AnswerKind::GaveUp, "given_up" },
    } };

    uint64_t milliseconds(absl::Duration duration)
    {
        return static_cast<uint64_t>(std::max<int64_t>(0, absl::ToInt64Milliseconds(duration)));
    }

    const ResultMapping& mappingOf(JobEnd end)
    {
        return *std::find_if(resultMappings.begin(), resultMappings.end(), [&](const ResultMapping& mapping) { return mapping.end == end; });
    }

} // namespace

JobCoordinator::JobCoordinator(JobCoordinatorPorts ports, uint64_t firstOfferNumber, absl::Duration maxClaimAge, SecondChoices secondChoices)
    : ports_(ports)
    , maxClaimAge_(maxClaimAge)
    , secondChoices_(secondChoices)
    , lastOfferNumber_(firstOfferNumber)
{
}

bool JobCoordinator::OpenJob::hasPart(PartState state) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const Part& part) { return part.state == state; });
}

void JobCoordinator::open(Ticket ticket, const IncomingJob& job, const Route& route, const std::vector<CellShare>& shares)
{
    {
        MutexLock lock(mutex_);
        tickets_[ticket] = job.key;
        const auto known = jobs_.find(job.key);
        if (known != jobs_.end())
            join(known->second, ticket, job);
        else
            openNew(ticket, job, route, shares);
    }
    effects_.flush();
}

bool JobCoordinator::joinOpen(Ticket ticket, const IncomingJob& job)
{
    {
        MutexLock lock(mutex_);
        const auto known = jobs_.find(job.key);
        if (known == jobs_.end())
            return false;
        tickets_[ticket] = job.key;
        join(known->second, ticket, job);
    }
    effects_.flush();
    return true;
}

void JobCoordinator::join(OpenJob& open, Ticket ticket, const IncomingJob& job)
{
    // The caller submitted the job again while it is open: both requests get the same answer.
    open.tickets.push_back(ticket);
    open.claimedAt = ports_.clock.now();
    effects_.add([this, key = job.key, request = job.requestId, first = open.requestId] {
        ports_.log.write(Severity::Info, "job_joined", { { "request", request }, { "job", key.value() }, { "first_request", first } });
    });
}

void JobCoordinator::openNew(Ticket ticket, const IncomingJob& job, const Route& route, const std::vector<CellShare>& shares)
{
    const absl::Time now = ports_.clock.now();
    OpenJob open;
    open.tickets = { ticket };
    open.requestId = job.requestId;
    open.openedAt = open.claimedAt = now;
    open.lateAt = now + job.estimate * route.stretch + route.latencyTarget;
    open.timeoutAt = now + (job.maxWait < absl::InfiniteDuration() ? job.maxWait : route.timeout) - replyTransitTime;
    uint32_t firstTask = 0;
    for (const CellShare& share : shares) {
        // The cell may have been granted to another owner since the shares were chosen.
        const CellGrant* newest = grants_.find(share.grant.cell);
        const CellGrant& grant = newest && newest->epoch > share.grant.epoch ? *newest : share.grant;
        Part part;
        part.offer = JobOffer { grant.cell, job.key, job.requestId, 0, route.name, firstTask, share.taskCount, job.need, job.estimate, job.spec,
            open.lateAt - now, open.timeoutAt - now, route.priority, route.maxAttempts, false, stampOf(grant.owner.daemon), {} };
        firstTask += share.taskCount;
        open.offeredCells.insert(grant.cell);
        offer(part, grant);
        effects_.add([this, offer = part.offer, grant] {
            ports_.log.write(Severity::Info, "job_offered", { { "request", offer.requestId }, { "job", offer.job.value() }, { "offer", offer.offerNumber }, { "route", offer.route.value() }, { "first_task", uint64_t { offer.firstTask } }, { "tasks", uint64_t { offer.taskCount } }, { "estimate_ms", milliseconds(offer.estimate) }, { "until_late_ms", milliseconds(offer.untilLate) }, { "until_given_up_ms", milliseconds(offer.untilTimeout) }, { "cell", nameOf(grant.cell) }, { "owner", grant.owner.daemon.value() }, { "epoch", grant.epoch.value() } });
        });
        open.parts.push_back(std::move(part));
    }
    jobs_.emplace(job.key, std::move(open));
}

void JobCoordinator::offer(Part& part, const CellGrant& grant)
{
    part.owner = grant.owner;
    part.offeredAt = stallFreeTime_.at(ports_.clock.now());
    part.offer.offerNumber = ++lastOfferNumber_;
    part.offer.epoch = grant.epoch;
    effects_.add([this, owner = grant.owner.daemon, offer = part.offer] { ports_.peers.send(owner, offer); });
}

void JobCoordinator::cancel(const Part& part)
{
    effects_.add([this, owner = part.owner.daemon, cancel = JobCancel { part.offer.cell, part.offer.job, part.offer.offerNumber }] { ports_.peers.send(owner, cancel); });
}

void JobCoordinator::cancelOpenParts(const OpenJob& job)
{
    for (const Part& part : job.parts) {
        if (part.state == PartState::Open)
            cancel(part);
    }
}

void JobCoordinator::abandoned(Ticket ticket)
{
    {
        MutexLock lock(mutex_);
        const auto found = tickets_.find(ticket);
        if (found == tickets_.end())
            return;
        const JobKey key = found->second;
        tickets_.erase(found);
        OpenJob& job = jobs_.at(key);
        std::erase(job.tickets, ticket);
        if (!job.tickets.empty())
            return;
        cancelOpenParts(job);
        effects_.add([this, key, request = job.requestId] { ports_.log.write(Severity::Info, "job_abandoned", { { "request", request }, { "job", key.value() } }); });
        jobs_.erase(key);
    }
    effects_.flush();
}

void JobCoordinator::resultReceived(const DaemonId& from, const JobResult& result)
{
    std::optional<RejectedPart> wanted;
    {
        MutexLock lock(mutex_);
        const auto found = jobs_.find(result.job);
        if (found == jobs_.end())
            return;
        // An earlier owner may still report its result after the part was offered to a new owner.
        OpenJob& job = found->second;
        const auto part = std::find_if(job.parts.begin(), job.parts.end(), [&](const Part& each) {
            return each.offer.offerNumber == result.offerNumber && each.owner.daemon == from && each.state == PartState::Open;
        });
        if (part == job.parts.end())
            logIgnored(from, result, job);
        else if ((wanted = wantedAfter(job, *part, result)))
            part->state = PartState::Choosing;
        else if (const std::optional<Outcome> outcome = applyResult(job, *part, result))
            answer(result.job, *outcome, result.offerNumber);
    }
    while (wanted)
        wanted = applyChoice(result, secondChoices_.cells->chooseAgain(*wanted));
    effects_.flush();
}

std::optional<RejectedPart> JobCoordinator::wantedAfter(const OpenJob& job, const Part& part, const JobResult& result) const
{
    // A job that is being cancelled needs no cell, and an earlier owner of the cell may have started tasks of a takeover.
    const absl::Time now = ports_.clock.now();
    if (result.end != JobEnd::Rejected || part.secondChoices >= secondChoices_.maxPerPart || job.rejection || part.offer.isTakeover || isClaimLapsed(job, now))
        return std::nullopt;
    const absl::Duration untilUseless = std::min(job.timeoutAt - now, (1 + lateTolerance) * (job.lateAt - now));
    const absl::Duration maxWait = untilUseless - part.offer.estimate;
    if (maxWait < absl::ZeroDuration())
        return std::nullopt;
    RejectedPart wanted { part.offer.cell.service, part.offer.need, part.offer.taskCount, part.offer.priority, maxWait, job.offeredCells, job.evacuated };
    if (result.reason == RejectionReason::Evacuated)
        wanted.evacuated.insert(part.offer.cell.dataCentre);
    return wanted;
}

std::optional<RejectedPart> JobCoordinator::applyChoice(const JobResult& rejection, const std::optional<CellGrant>& choice)
{
    MutexLock lock(mutex_);
    const auto found = jobs_.find(rejection.job);
    if (found == jobs_.end())
        return std::nullopt;
    OpenJob& job = found->second;
    const auto part = std::find_if(job.parts.begin(), job.parts.end(), [&](const Part& each) {
        return each.offer.offerNumber == rejection.offerNumber && each.state == PartState::Choosing;
    });
    // The job was answered or abandoned meanwhile, and submitted again.
    if (part == job.parts.end())
        return std::nullopt;
    std::optional<RejectedPart> wanted = choice ? wantedAfter(job, *part, rejection) : std::nullopt;
    if (!wanted) {
        if (const std::optional<Outcome> outcome = applyResult(job, *part, rejection))
            answer(rejection.job, *outcome, rejection.offerNumber);
        return std::nullopt;
    }
    // Another part was offered to the cell meanwhile, or its pool was divided anew.
    if (job.offeredCells.contains(choice->cell) || grants_.isOfEarlierDivision(*choice)) {
        job.offeredCells.insert(choice->cell);
        wanted->offeredCells.insert(choice->cell);
        return wanted;
    }
    offerAgain(job, *part, *choice, rejection);
    return std::nullopt;
}

void JobCoordinator::offerAgain(OpenJob& job, Part& part, const CellGrant& choice, const JobResult& rejection)
{
    const absl::Time now = ports_.clock.now();
    const CellGrant* newest = grants_.find(choice.cell);
    const CellGrant& grant = newest && newest->epoch > choice.epoch ? *newest : choice;
    if (rejection.reason == RejectionReason::Evacuated)
        job.evacuated.insert(part.offer.cell.dataCentre);
    job.offeredCells.insert(grant.cell);
    const CellId rejectingCell = std::exchange(part.offer.cell, grant.cell);
    part.state = PartState::Open;
    ++part.secondChoices;
    part.waitedElsewhere = now - job.openedAt;
    part.offer.stamp = stampOf(grant.owner.daemon);
    // The callers may have left unnoticed since the job was opened, so it is claimed as of that time only.
    if (part.offer.stamp)
        part.offer.stamp->sentAt -= now - job.openedAt;
    part.offer.untilLate = job.lateAt - now;
    part.offer.untilTimeout = job.timeoutAt - now;
    offer(part, grant);
    effects_.add([this, offer = part.offer, grant, rejectingCell, rejection] {
        ports_.log.write(Severity::Info, "job_offered_again", { { "request", offer.requestId }, { "job", offer.job.value() }, { "offer", offer.offerNumber }, { "rejected_offer", rejection.offerNumber }, { "reason", std::string(rejectionNames.at(static_cast<size_t>(rejection.reason))) }, { "first_task", uint64_t { offer.firstTask } }, { "tasks", uint64_t { offer.taskCount } }, { "until_late_ms", milliseconds(offer.untilLate) }, { "rejecting_cell", nameOf(rejectingCell) }, { "cell", nameOf(grant.cell) }, { "owner", grant.owner.daemon.value() }, { "epoch", grant.epoch.value() } });
        ports_.metrics.count("second_choices", { offer.cell.service, {}, TaskKindId(offer.route.value()) }, 1);
    });
}

void JobCoordinator::logIgnored(const DaemonId& from, const JobResult& result, const OpenJob& job)
{
    effects_.add([this, from, result, request = job.requestId] {
        ports_.log.write(Severity::Info, "result_ignored", { { "request", request }, { "job", result.job.value() }, { "offer", result.offerNumber }, { "owner", from.value() }, { "result", std::string(mappingOf(result.end).name) } });
        ports_.metrics.count("results_ignored", {}, 1);
    });
}

std::optional<JobCoordinator::Outcome> JobCoordinator::applyResult(OpenJob& job, Part& part, const JobResult& result)
{
    job.queued = std::max(job.queued, part.waitedElsewhere + result.queued);
    const auto toOutcome = [](const JobResult& reported) {
        const ResultMapping& mapping = mappingOf(reported.end);
        return Outcome { { mapping.kind, reported.retryAfter }, std::string(mapping.name) };
    };
    const Outcome outcome = toOutcome(result);
    if (job.parts.size() > 1) {
        effects_.add([this, offer = part.offer, owner = part.owner.daemon, name = outcome.name] {
            ports_.log.write(Severity::Info, "part_ended", { { "request", offer.requestId }, { "job", offer.job.value() }, { "offer", offer.offerNumber }, { "owner", owner.value() }, { "result", name } });
        });
    }
    if (result.end == JobEnd::Failed || result.end == JobEnd::GivenUp) {
        part.state = PartState::Aborted;
        return outcome;
    }
    part.state = result.end == JobEnd::Completed ? PartState::Completed : PartState::NotRun;
    if (part.state == PartState::Completed && part.secondChoices > 0)
        effects_.add([this, service = part.offer.cell.service, route = part.offer.route] { ports_.metrics.count("second_choices_served", { service, {}, TaskKindId(route.value()) }, 1); });
    if (part.state == PartState::NotRun && !job.rejection) {
        job.rejection = result;
        // The other owners report whether any of their tasks started; only if none did, the job wasn't run.
        cancelOpenParts(job);
    }
    if (!job.rejection)
        return job.isAwaitingParts() ? std::nullopt : std::optional(outcome);
    if (job.hasPart(PartState::Completed))
        return Outcome { { AnswerKind::GaveUp, {} }, "part_turned_down" };
    return job.isAwaitingParts() ? std::nullopt : std::optional(toOutcome(*job.rejection));
}

void JobCoordinator::answer(const JobKey& key, const Outcome& outcome, uint64_t decidingOffer)
{
    const absl::Time now = ports_.clock.now();
    auto node = jobs_.extract(key);
    const OpenJob& job = node.mapped();
    cancelOpenParts(job);
    for (const Ticket& ticket : job.tickets)
        tickets_.erase(ticket);
    const Part& first = job.parts.front();
    effects_.add([this, key, request = job.requestId, outcome, decidingOffer, tickets = job.tickets, taken = now - job.openedAt, queued = job.queued, owner = first.owner.daemon, cell = first.offer.cell, parts = uint64_t { job.parts.size() }, route = first.offer.route, isLate = now > job.lateAt] {
        for (const Ticket& ticket : tickets)
            ports_.replies.reply(ticket, outcome.answer);
        ports_.log.write(Severity::Info, "job_answered", { { "request", request }, { "job", key.value() }, { "outcome", outcome.name }, { "offer", decidingOffer }, { "cell", nameOf(cell) }, { "owner", owner.value() }, { "parts", parts }, { "taken_ms", milliseconds(taken) }, { "queued_ms", milliseconds(queued) }, { "late", isLate ? std::string("yes") : std::string("no") } });
        const MetricLabels labels { cell.service, {}, TaskKindId(route.value()) };
        ports_.metrics.count(absl::StrCat("jobs_", outcome.name), labels, 1);
        ports_.metrics.observe(metric::requestLatency, labels, taken);
        ports_.metrics.observe(metric::queueWait, labels, queued);
    });
}

void JobCoordinator::ownerChanged(const CellGrant& grant)
{
    {
        MutexLock lock(mutex_);
        if (!grants_.accept(grant))
            return;
        const absl::Time now = ports_.clock.now();
        std::vector<std::pair<JobKey, std::string_view>> ending;
        for (auto& [key, job] : jobs_) {
            const auto part = std::find_if(job.parts.begin(), job.parts.end(), [&](const Part& each) {
                return each.offer.cell == grant.cell && each.offer.epoch < grant.epoch && each.state == PartState::Open;
            });
            if (part == job.parts.end())
                continue;
            // The job ends with the rejection anyway, and a new owner can't say whether the earlier one ran the part.
            if (job.rejection)
                ending.emplace_back(key, "part_turned_down");
            else if (isClaimLapsed(job, now))
                ending.emplace_back(key, "claim_lapsed");
            else
                move(job, *part, grant);
        }
        for (const auto& [key, outcome] : ending)
            answer(key, { { AnswerKind::GaveUp, {} }, std::string(outcome) });
    }
    effects_.flush();
}

void JobCoordinator::move(const OpenJob& job, Part& part, const CellGrant& grant)
{
    const absl::Time now = ports_.clock.now();
    cancel(part);
    part.offer.isTakeover = true;
    // Its callers may have left unnoticed if this process stood still. The next heartbeat claims the job.
    part.offer.stamp.reset();
    part.offer.untilLate = job.lateAt - now;
    part.offer.untilTimeout = job.timeoutAt - now;
    offer(part, grant);
    effects_.add([this, offer = part.offer, owner = grant.owner.daemon] {
        ports_.log.write(Severity::Info, "job_moved", { { "request", offer.requestId }, { "job", offer.job.value() }, { "offer", offer.offerNumber }, { "cell", nameOf(offer.cell) }, { "owner", owner.value() }, { "epoch", offer.epoch.value() } });
    });
}

void JobCoordinator::poolDivided(const CellId& cell)
{
    {
        MutexLock lock(mutex_);
        std::vector<JobKey> affected;
        for (const auto& [key, job] : jobs_) {
            const bool hasOldCell = std::any_of(job.parts.begin(), job.parts.end(), [&](const Part& part) {
                return part.state == PartState::Open && part.offer.cell.pool() == cell.pool() && part.offer.cell.part.count != cell.part.count;
            });
            if (hasOldCell)
                affected.push_back(key);
        }
        for (const JobKey& key : affected)
            answer(key, { { AnswerKind::GaveUp, {} }, "cell_divided" });
    }
    effects_.flush();
}

bool JobCoordinator::loadReceived(const CellGrant& grant, absl::Time sentAt)
{
    MutexLock lock(mutex_);
    const DaemonRun& owner = grant.owner;
    OwnerReport& newest = ownerReports_[owner.daemon];
    const bool isNewProcess = newest.stamp.owner != owner.incarnation;
    if (isNewProcess && grant.epoch < newest.epoch)
        return false;
    const bool isNewGrant = grant.epoch > newest.epoch;
    ownerContacts_[owner.daemon] = stallFreeTime_.at(ports_.clock.now());
    newest.stamp = { owner.incarnation, isNewProcess ? sentAt : std::max(newest.stamp.sentAt, sentAt) };
    newest.epoch = std::max(newest.epoch, grant.epoch);
    return (isNewProcess || isNewGrant) && std::any_of(jobs_.begin(), jobs_.end(), [&](const auto& job) {
        return std::any_of(job.second.parts.begin(), job.second.parts.end(), [&](const Part& part) { return part.state == PartState::Open && part.owner.daemon == owner.daemon; });
    });
}

std::optional<OwnerStamp> JobCoordinator::stampOf(const DaemonId& owner) const
{
    const auto found = ownerReports_.find(owner);
    return found == ownerReports_.end() ? std::nullopt : std::optional(found->second.stamp);
}

void JobCoordinator::recordDelay(absl::Duration lateness)
{
    MutexLock lock(mutex_);
    stallFreeTime_.recordDelay(lateness);
}

bool JobCoordinator::isOwnerSilent(const OpenJob& job, absl::Time now) const
{
    for (const Part& part : job.parts) {
        const auto contact = ownerContacts_.find(part.owner.daemon);
        const absl::Time last = contact == ownerContacts_.end() ? part.offeredAt : std::max(contact->second, part.offeredAt);
        if (part.state == PartState::Open && stallFreeTime_.at(now) - last > ownerTimeout)
            return true;
    }
    return false;
}

void JobCoordinator::tick()
{
    const absl::Time now = ports_.clock.now();
    {
        MutexLock lock(mutex_);
        std::vector<JobKey> late;
        for (const auto& [key, job] : jobs_) {
            if (now > job.timeoutAt + ownerGracePeriod || isOwnerSilent(job, now))
                late.push_back(key);
        }
        for (const JobKey& key : late)
            answer(key, { { AnswerKind::GaveUp, {} }, "owner_silent" });
    }
    effects_.flush();
}

void JobCoordinator::answerAllAsGivenUp()
{
    {
        MutexLock lock(mutex_);
        std::vector<JobKey> open;
        for (const auto& [key, job] : jobs_)
            open.push_back(key);
        for (const JobKey& key : open)
            answer(key, { { AnswerKind::GaveUp, {} }, "entry_stops" });
    }
    effects_.flush();
}

size_t JobCoordinator::openCount() const
{
    MutexLock lock(mutex_);
    return jobs_.size();
}

void JobCoordinator::logLapse(const JobKey& key, const OpenJob& job, absl::Time now)
{
    effects_.add([this, key, request = job.requestId, age = now - job.claimedAt] {
        ports_.log.write(Severity::Warning, "claim_lapsed", { { "request", request }, { "job", key.value() }, { "age_ms", milliseconds(age) } });
        ports_.metrics.count("claims_lapsed", {}, 1);
    });
}

std::set<DaemonId> JobCoordinator::owners() const
{
    MutexLock lock(mutex_);
    std::set<DaemonId> owners;
    for (const auto& [key, job] : jobs_) {
        for (const Part& part : job.parts) {
            if (part.state == PartState::Open)
                owners.insert(part.owner.daemon);
        }
    }
    return owners;
}

std::map<DaemonId, std::optional<JobClaims>> JobCoordinator::claimJobs()
{
    std::map<DaemonId, std::optional<JobClaims>> owners;
    {
        MutexLock lock(mutex_);
        const absl::Time now = ports_.clock.now();
        for (auto& [key, job] : jobs_) {
            const bool isClaimed = !isClaimLapsed(job, now);
            if (isClaimed)
                job.claimedAt = now;
            else if (!std::exchange(job.isLapseLogged, true))
                logLapse(key, job, now);
            for (const Part& part : job.parts) {
                if (part.state != PartState::Open)
                    continue;
                std::optional<JobClaims>& claims = owners[part.owner.daemon];
                if (const std::optional<OwnerStamp> stamp = stampOf(part.owner.daemon); stamp && !claims)
                    claims = JobClaims { *stamp, {} };
                if (claims && isClaimed)
                    claims->offerNumbers.push_back(part.offer.offerNumber);
            }
        }
    }
    effects_.flush();
    for (auto& [owner, claims] : owners) {
        if (claims)
            std::sort(claims->offerNumbers.begin(), claims->offerNumbers.end());
    }
    return owners;
}

} // namespace trefoilwing
