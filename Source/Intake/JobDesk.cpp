#include "Intake/JobDesk.h"

#include "Ports/MetricNames.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <utility>

namespace trefoilwing {

namespace {

    /// The owner has the last word so long after the job is given up, before the desk answers by itself.
    constexpr absl::Duration ownerGrace = absl::Milliseconds(30);

    /// The way of the answer to the caller, which its patience includes.
    constexpr absl::Duration answerWay = absl::Milliseconds(20);

    /// An owner that is silent for longer has stopped this entry's jobs (after 0.8 s), and has been replaced
    /// (within about 1 s) unless it is cut off.
    constexpr absl::Duration ownerSilence = absl::Milliseconds(1500);

    struct EndRow {
        JobEnd end;
        AnswerKind kind;
        std::string_view name;
    };

    /// What callers are told of each of an owner's last words.
    constexpr std::array<EndRow, 5> endRows { {
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

    const EndRow& rowOf(JobEnd end)
    {
        return *std::find_if(endRows.begin(), endRows.end(), [&](const EndRow& row) { return row.end == end; });
    }

} // namespace

JobDesk::JobDesk(DeskPorts ports, uint64_t firstLife)
    : ports_(ports)
    , lastLife_(firstLife)
{
}

bool JobDesk::OpenJob::hasPart(PartState state) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const Part& part) { return part.state == state; });
}

void JobDesk::open(Ticket ticket, const IncomingJob& job, const Route& route, const std::vector<CellShare>& shares)
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

void JobDesk::join(OpenJob& open, Ticket ticket, const IncomingJob& job)
{
    // The caller came back while its job runs: both requests get the one answer.
    open.tickets.push_back(ticket);
    effects_.add([this, key = job.key, request = job.requestId, first = open.requestId] {
        ports_.log.write(Severity::Info, "job_joined", { { "request", request }, { "job", key.value() }, { "first_request", first } });
    });
}

void JobDesk::openNew(Ticket ticket, const IncomingJob& job, const Route& route, const std::vector<CellShare>& shares)
{
    const absl::Time now = ports_.clock.now();
    OpenJob open;
    open.tickets = { ticket };
    open.requestId = job.requestId;
    open.openedAt = now;
    open.lateAt = now + job.estimate * route.stretch + route.latencyTarget;
    open.givenUpAt = now + (job.maxWait < absl::InfiniteDuration() ? job.maxWait : route.timeout) - answerWay;
    uint32_t firstTask = 0;
    for (const CellShare& share : shares) {
        Part part;
        part.owner = share.grant.owner.daemon;
        part.offeredAt = running_.at(now);
        part.offer = JobOffer { share.grant.cell, job.key, job.requestId, ++lastLife_, route.name, firstTask, share.taskCount, job.need, job.estimate, job.spec,
            open.lateAt - now, open.givenUpAt - now, route.priority, route.maxAttempts, false };
        firstTask += share.taskCount;
        offer(part);
        effects_.add([this, offer = part.offer, grant = share.grant] {
            ports_.log.write(Severity::Info, "job_offered", { { "request", offer.requestId }, { "job", offer.job.value() }, { "route", offer.route.value() }, { "first_task", uint64_t { offer.firstTask } }, { "tasks", uint64_t { offer.taskCount } }, { "estimate_ms", milliseconds(offer.estimate) }, { "until_late_ms", milliseconds(offer.untilLate) }, { "until_given_up_ms", milliseconds(offer.untilTimeout) }, { "cell", nameOf(grant.cell) }, { "owner", grant.owner.daemon.value() }, { "epoch", grant.epoch.value() } });
        });
        open.parts.push_back(std::move(part));
    }
    jobs_.emplace(job.key, std::move(open));
}

void JobDesk::offer(const Part& part)
{
    effects_.add([this, owner = part.owner, offer = part.offer] { ports_.peers.send(owner, offer); });
}

void JobDesk::cancel(const Part& part)
{
    effects_.add([this, owner = part.owner, cancel = JobCancel { part.offer.cell, part.offer.job, part.offer.offerNumber }] { ports_.peers.send(owner, cancel); });
}

void JobDesk::cancelOpenParts(const OpenJob& job)
{
    for (const Part& part : job.parts) {
        if (part.state == PartState::Open)
            cancel(part);
    }
}

void JobDesk::abandoned(Ticket ticket)
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

void JobDesk::ended(const DaemonId& from, const JobResult& ended)
{
    {
        MutexLock lock(mutex_);
        const auto found = jobs_.find(ended.job);
        if (found == jobs_.end())
            return;
        // An earlier owner may still say that it gave the job up after the job has moved on.
        std::vector<Part>& parts = found->second.parts;
        const auto part = std::find_if(parts.begin(), parts.end(), [&](const Part& each) {
            return each.offer.offerNumber == ended.offerNumber && each.owner == from && each.state == PartState::Open;
        });
        if (part == parts.end())
            return;
        if (const std::optional<Outcome> outcome = settle(found->second, *part, ended))
            answer(ended.job, *outcome);
    }
    effects_.flush();
}

std::optional<JobDesk::Outcome> JobDesk::settle(OpenJob& job, Part& part, const JobResult& ended)
{
    job.queued = std::max(job.queued, ended.queued);
    const auto outcomeOf = [](const JobResult& word) {
        const EndRow& row = rowOf(word.end);
        return Outcome { { row.kind, word.retryAfter }, std::string(row.name) };
    };
    const Outcome outcome = outcomeOf(ended);
    if (ended.end == JobEnd::Failed || ended.end == JobEnd::GivenUp) {
        part.state = PartState::Broken;
        return outcome;
    }
    part.state = ended.end == JobEnd::Completed ? PartState::Completed : PartState::NotRun;
    if (part.state == PartState::NotRun && !job.refusal) {
        job.refusal = ended;
        // The others tell whether any of their tasks has begun: only if none has, the job wasn't run.
        cancelOpenParts(job);
    }
    if (!job.refusal)
        return job.hasPart(PartState::Open) ? std::nullopt : std::optional(outcome);
    if (job.hasPart(PartState::Completed))
        return Outcome { { AnswerKind::GaveUp, {} }, "part_turned_down" };
    return job.hasPart(PartState::Open) ? std::nullopt : std::optional(outcomeOf(*job.refusal));
}

void JobDesk::answer(const JobKey& key, const Outcome& outcome)
{
    const absl::Time now = ports_.clock.now();
    auto node = jobs_.extract(key);
    const OpenJob& job = node.mapped();
    cancelOpenParts(job);
    for (const Ticket& ticket : job.tickets)
        tickets_.erase(ticket);
    const Part& first = job.parts.front();
    effects_.add([this, key, request = job.requestId, outcome, tickets = job.tickets, taken = now - job.openedAt, queued = job.queued, owner = first.owner, cell = first.offer.cell, parts = uint64_t { job.parts.size() }, route = first.offer.route, isLate = now > job.lateAt] {
        for (const Ticket& ticket : tickets)
            ports_.replies.reply(ticket, outcome.answer);
        ports_.log.write(Severity::Info, "job_answered", { { "request", request }, { "job", key.value() }, { "outcome", outcome.name }, { "cell", nameOf(cell) }, { "owner", owner.value() }, { "parts", parts }, { "taken_ms", milliseconds(taken) }, { "queued_ms", milliseconds(queued) }, { "late", isLate ? std::string("yes") : std::string("no") } });
        const MetricLabels labels { cell.service, {}, TaskKindId(route.value()) };
        ports_.metrics.count(absl::StrCat("jobs_", outcome.name), labels, 1);
        ports_.metrics.observe(metric::requestLatency, labels, taken);
        ports_.metrics.observe(metric::queueWait, labels, queued);
    });
}

void JobDesk::moved(const CellGrant& grant)
{
    {
        MutexLock lock(mutex_);
        const absl::Time now = ports_.clock.now();
        for (auto& [key, job] : jobs_) {
            for (Part& part : job.parts) {
                if (part.offer.cell != grant.cell || part.owner == grant.owner.daemon || part.state != PartState::Open)
                    continue;
                cancel(part);
                part.owner = grant.owner.daemon;
                part.offeredAt = running_.at(now);
                part.offer.isTakeover = true;
                part.offer.untilLate = job.lateAt - now;
                part.offer.untilTimeout = job.givenUpAt - now;
                offer(part);
                effects_.add([this, key = key, request = job.requestId, grant] {
                    ports_.log.write(Severity::Info, "job_moved", { { "request", request }, { "job", key.value() }, { "cell", nameOf(grant.cell) }, { "owner", grant.owner.daemon.value() }, { "epoch", grant.epoch.value() } });
                });
            }
        }
    }
    effects_.flush();
}

void JobDesk::divided(const CellId& cell)
{
    {
        MutexLock lock(mutex_);
        std::vector<JobKey> ended;
        for (const auto& [key, job] : jobs_) {
            const bool hasOldCell = std::any_of(job.parts.begin(), job.parts.end(), [&](const Part& part) {
                return part.state == PartState::Open && part.offer.cell.pool() == cell.pool() && part.offer.cell.part.count != cell.part.count;
            });
            if (hasOldCell)
                ended.push_back(key);
        }
        for (const JobKey& key : ended)
            answer(key, { { AnswerKind::GaveUp, {} }, "cell_divided" });
    }
    effects_.flush();
}

void JobDesk::ownerHeard(const DaemonId& owner)
{
    MutexLock lock(mutex_);
    ownersHeard_[owner] = running_.at(ports_.clock.now());
}

void JobDesk::recordDelay(absl::Duration lateness)
{
    MutexLock lock(mutex_);
    running_.recordDelay(lateness);
}

bool JobDesk::isOwnerSilent(const OpenJob& job, absl::Time now) const
{
    for (const Part& part : job.parts) {
        const auto heard = ownersHeard_.find(part.owner);
        const absl::Time last = heard == ownersHeard_.end() ? part.offeredAt : std::max(heard->second, part.offeredAt);
        if (part.state == PartState::Open && running_.at(now) - last > ownerSilence)
            return true;
    }
    return false;
}

void JobDesk::tick()
{
    const absl::Time now = ports_.clock.now();
    {
        MutexLock lock(mutex_);
        std::vector<JobKey> late;
        for (const auto& [key, job] : jobs_) {
            if (now > job.givenUpAt + ownerGrace || isOwnerSilent(job, now))
                late.push_back(key);
        }
        for (const JobKey& key : late)
            answer(key, { { AnswerKind::GaveUp, {} }, "owner_silent" });
    }
    effects_.flush();
}

void JobDesk::giveUpAll()
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

size_t JobDesk::openCount() const
{
    MutexLock lock(mutex_);
    return jobs_.size();
}

std::set<DaemonId> JobDesk::openOwners() const
{
    MutexLock lock(mutex_);
    std::set<DaemonId> owners;
    for (const auto& [key, job] : jobs_) {
        for (const Part& part : job.parts) {
            if (part.state == PartState::Open)
                owners.insert(part.owner);
        }
    }
    return owners;
}

} // namespace trefoilwing
