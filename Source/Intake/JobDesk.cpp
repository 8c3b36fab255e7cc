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
        { JobEnd::TurnedDown, AnswerKind::Overloaded, "overloaded" },
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

void JobDesk::open(Ticket ticket, const IncomingJob& job, const Route& route, const CellGrant& grant)
{
    {
        MutexLock lock(mutex_);
        tickets_[ticket] = job.key;
        const auto known = jobs_.find(job.key);
        if (known != jobs_.end())
            join(known->second, ticket, job);
        else
            openNew(ticket, job, route, grant);
    }
    effects_.flush();
}

void JobDesk::join(OpenJob& open, Ticket ticket, const IncomingJob& job)
{
    // The caller came back while its job runs: both requests get the one answer.
    open.tickets.push_back(ticket);
    effects_.add([this, key = job.key, request = job.requestId, first = open.offer.requestId] {
        ports_.log.write(Severity::Info, "job_joined", { { "request", request }, { "job", key.value() }, { "first_request", first } });
    });
}

void JobDesk::openNew(Ticket ticket, const IncomingJob& job, const Route& route, const CellGrant& grant)
{
    const absl::Time now = ports_.clock.now();
    OpenJob open;
    open.tickets = { ticket };
    open.owner = grant.owner.daemon;
    open.openedAt = open.offeredAt = now;
    open.lateAt = now + job.estimate * route.stretch + route.latencyTarget;
    open.givenUpAt = now + (job.patience < absl::InfiniteDuration() ? job.patience : route.timeout) - answerWay;
    open.offer = JobOffer { grant.cell, job.key, job.requestId, ++lastLife_, route.name, job.taskCount, job.need, job.estimate, job.spec,
        open.lateAt - now, open.givenUpAt - now, route.priority, route.maxAttempts, false };
    offer(open);
    effects_.add([this, offer = open.offer, grant] {
        ports_.log.write(Severity::Info, "job_offered", { { "request", offer.requestId }, { "job", offer.job.value() }, { "route", offer.route.value() }, { "tasks", uint64_t { offer.taskCount } }, { "estimate_ms", milliseconds(offer.estimate) }, { "until_late_ms", milliseconds(offer.untilLate) }, { "until_given_up_ms", milliseconds(offer.untilGivenUp) }, { "cell", grant.cell.dataCentre.value() }, { "owner", grant.owner.daemon.value() }, { "epoch", grant.epoch.value() } });
    });
    jobs_.emplace(job.key, std::move(open));
}

void JobDesk::offer(const OpenJob& job)
{
    effects_.add([this, owner = job.owner, offer = job.offer] { ports_.peers.send(owner, offer); });
}

void JobDesk::cancel(const OpenJob& job)
{
    effects_.add([this, owner = job.owner, cancel = JobCancel { job.offer.cell, job.offer.job, job.offer.life }] { ports_.peers.send(owner, cancel); });
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
        cancel(job);
        effects_.add([this, key, request = job.offer.requestId] { ports_.log.write(Severity::Info, "job_abandoned", { { "request", request }, { "job", key.value() } }); });
        jobs_.erase(key);
    }
    effects_.flush();
}

void JobDesk::ended(const DaemonId& from, const JobEnded& ended)
{
    {
        MutexLock lock(mutex_);
        const auto found = jobs_.find(ended.job);
        // An earlier owner may still say that it gave the job up after the job has moved on.
        if (found == jobs_.end() || found->second.offer.life != ended.life || found->second.owner != from)
            return;
        const EndRow& row = rowOf(ended.end);
        answer(ended.job, { row.kind, ended.retryAfter }, row.name, &ended);
    }
    effects_.flush();
}

void JobDesk::answer(const JobKey& key, const CallerAnswer& answer, std::string_view outcome, const JobEnded* ended)
{
    const absl::Time now = ports_.clock.now();
    auto node = jobs_.extract(key);
    const OpenJob& job = node.mapped();
    for (const Ticket& ticket : job.tickets)
        tickets_.erase(ticket);
    const absl::Duration taken = now - job.openedAt;
    const absl::Duration queued = ended ? ended->queued : taken;
    effects_.add([this, key, request = job.offer.requestId, answer, outcome = std::string(outcome), tickets = job.tickets, taken, queued, owner = job.owner, cell = job.offer.cell.dataCentre, service = job.offer.cell.service, route = job.offer.route, isLate = now > job.lateAt] {
        for (const Ticket& ticket : tickets)
            ports_.replies.reply(ticket, answer);
        ports_.log.write(Severity::Info, "job_answered", { { "request", request }, { "job", key.value() }, { "outcome", outcome }, { "cell", cell.value() }, { "owner", owner.value() }, { "taken_ms", milliseconds(taken) }, { "queued_ms", milliseconds(queued) }, { "late", isLate ? std::string("yes") : std::string("no") } });
        const MetricLabels labels { service, {}, TaskKindId(route.value()) };
        ports_.metrics.count(absl::StrCat("jobs_", outcome), labels, 1);
        ports_.metrics.observe(metric::requestLatency, labels, taken);
        ports_.metrics.observe(metric::queueWait, labels, queued);
    });
}

void JobDesk::moved(const CellGrant& grant)
{
    {
        MutexLock lock(mutex_);
        for (auto& [key, job] : jobs_) {
            if (job.offer.cell != grant.cell || job.owner == grant.owner.daemon)
                continue;
            cancel(job);
            const absl::Time now = ports_.clock.now();
            job.owner = grant.owner.daemon;
            job.offeredAt = now;
            job.offer.isTakeover = true;
            job.offer.untilLate = job.lateAt - now;
            job.offer.untilGivenUp = job.givenUpAt - now;
            offer(job);
            effects_.add([this, key = key, request = job.offer.requestId, grant] {
                ports_.log.write(Severity::Info, "job_moved", { { "request", request }, { "job", key.value() }, { "cell", grant.cell.dataCentre.value() }, { "owner", grant.owner.daemon.value() }, { "epoch", grant.epoch.value() } });
            });
        }
    }
    effects_.flush();
}

void JobDesk::ownerHeard(const DaemonId& owner)
{
    MutexLock lock(mutex_);
    ownersHeard_[owner] = ports_.clock.now();
}

bool JobDesk::isOwnerSilent(const OpenJob& job, absl::Time now) const
{
    const auto heard = ownersHeard_.find(job.owner);
    const absl::Time last = heard == ownersHeard_.end() ? job.offeredAt : std::max(heard->second, job.offeredAt);
    return now - last > ownerSilence;
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
        for (const JobKey& key : late) {
            cancel(jobs_.at(key));
            answer(key, { AnswerKind::GaveUp, {} }, "owner_silent", nullptr);
        }
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
        for (const JobKey& key : open) {
            cancel(jobs_.at(key));
            answer(key, { AnswerKind::GaveUp, {} }, "entry_stops", nullptr);
        }
    }
    effects_.flush();
}

size_t JobDesk::openCount() const
{
    MutexLock lock(mutex_);
    return jobs_.size();
}

} // namespace trefoilwing
