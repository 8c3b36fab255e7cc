#include "Handover/HandoverModel.h"

#include "Base/StableHash.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <iterator>
#include <utility>
#include <variant>

namespace trefoilwing {

namespace {

    const CellId cell { ServiceId("service"), DataCentreId("home") };
    const std::array<std::string, 2> entryNames { "entry-1", "entry-2" };
    const std::array<std::string, 2> keeperNames { "keeper-1", "keeper-2" };
    constexpr size_t minionCount = 3;
    /// Where runs of jobs are that callers have submitted to another cell, which isn't modelled.
    const std::string otherCell = "another cell";

    constexpr absl::Duration pumpInterval = absl::Milliseconds(20);
    constexpr absl::Duration reportInterval = absl::Milliseconds(1500);
    constexpr absl::Duration submitInterval = absl::Milliseconds(150);
    /// Minimum time after which a caller submits a job again.
    constexpr absl::Duration resubmitDelay = absl::Milliseconds(1300);

    absl::Duration milliseconds(uint64_t count)
    {
        return absl::Milliseconds(static_cast<int64_t>(count));
    }

} // namespace

HandoverModel::HandoverModel(uint64_t seed, CutMessages cutMessages)
    : network_(seed, cutMessages)
    , secondDataCentre_(network_.below(2) == 0 ? cell.dataCentre : DataCentreId("remote"))
    , world_ { network_, cell, { DaemonId(keeperNames[0]), DaemonId(keeperNames[1]) },
        [this](const DaemonId& from, const DaemonId& to, const PeerMessage& message) { deliver(from, to, message); },
        [this](const std::string& address) { return std::find_if(minions_.begin(), minions_.end(), [&](const auto& minion) { return minion->address() == address; })->get(); },
        [this](const JobKey& job, AnswerKind kind) { answered(job, kind); },
        [this](const DaemonRun& run, ModelNetwork::Action action) { whenRunning(run, std::move(action)); } }
{
    for (const std::string& name : keeperNames) {
        startKeeper(name);
        pumpKeeper(name);
    }
    for (const std::string& name : entryNames)
        startEntry(name);
    for (size_t i = 0; i < minionCount; ++i) {
        const double rate = 1 - 0.01 * static_cast<double>(network_.below(3));
        minions_.push_back(std::make_unique<ModelMinion>(absl::StrCat("minion-", i), cell, network_, rate, ModelMinion::Observer { [this](const ModelMinion& minion, const ModelTask& task) { started(minion.address(), task); }, [this](const ModelMinion& minion, const ModelTask& task) { ended(minion.address(), task); } }));
        reportMinion(i);
    }
    network_.run(absl::Milliseconds(500));
    disturb(Disturbance::Grant);
    network_.run(absl::Milliseconds(500));
    submitJob();
}

void HandoverModel::run(absl::Duration duration)
{
    network_.run(duration);
}

void HandoverModel::startEntry(const std::string& name)
{
    EntryHost& host = entries_[name];
    host.process = std::make_unique<ModelEntry>(DaemonRun { DaemonId(name), Incarnation(1000 * ++incarnations_) }, world_, name == entryNames.front() ? cell.dataCentre : secondDataCentre_);
    host.isFrozen = false;
    host.held.clear();
    pumpEntry(name);
}

void HandoverModel::whenRunning(const DaemonRun& run, ModelNetwork::Action action, std::string source)
{
    EntryHost& host = entries_.at(run.daemon.value());
    if (host.process->self() != run)
        return;
    if (!host.isFrozen) {
        action();
        return;
    }
    if (source.empty())
        source = absl::StrCat("#", ++unorderedActions_);
    host.held[network_.cutMessages() == CutMessages::Late ? source : std::string()].push_back(std::move(action));
}

void HandoverModel::freeze(const std::string& entry, absl::Duration duration)
{
    EntryHost& host = entries_.at(entry);
    host.isFrozen = true;
    network_.after(duration, [this, &host] { goOn(host); });
}

void HandoverModel::goOn(EntryHost& host)
{
    host.isFrozen = false;
    auto held = std::exchange(host.held, {});
    // Timers and sockets are due at the same time.
    while (!held.empty()) {
        const auto source = std::next(held.begin(), static_cast<ptrdiff_t>(held.size() > 1 ? network_.below(held.size()) : 0));
        const ModelNetwork::Action action = std::move(source->second.front());
        source->second.erase(source->second.begin());
        if (source->second.empty())
            held.erase(source);
        action();
    }
}

void HandoverModel::pumpEntry(const std::string& name)
{
    const DaemonRun run = entries_.at(name).process->self();
    whenRunning(
        run, [this, name] { entries_.at(name).process->pump(); }, "timer");
    network_.after(pumpInterval, [this, name, run] {
        if (entries_.at(name).process->self() == run)
            pumpEntry(name);
    });
}

void HandoverModel::deliver(const DaemonId& from, const DaemonId& to, const PeerMessage& message)
{
    network_.sendInOrder(from.value(), to.value(), [this, from, to, message] {
        if (const auto keeper = keepers_.find(to.value()); keeper != keepers_.end()) {
            if (const auto* heartbeat = std::get_if<DaemonHeartbeat>(&message); heartbeat && keeper->second.isUp)
                keeper->second.registry->heartbeatReceived(*heartbeat, network_.now());
            return;
        }
        const ModelEntry& receiver = *entries_.at(to.value()).process;
        whenRunning(
            receiver.self(), [this, from, to, message] { entries_.at(to.value()).process->receive(from, message); }, from.value());
    });
}

void HandoverModel::startKeeper(const std::string& name)
{
    KeeperHost& host = keepers_[name];
    host.registry = std::make_unique<FleetRegistry>(DaemonRun { DaemonId(name), Incarnation(++incarnations_) });
    host.isUp = true;
    host.registry->setServices({ cell.service }, network_.now());
    host.registry->setLeading(name == keeperNames.front());
    host.registry->setGrants(host.state.grants());
    host.registry->setLoggedMinions(host.state.minions(), host.state.departed());
    host.registry->awaitReports(network_.now() + 2 * reportInterval);
    network_.after(milliseconds(5 + network_.below(30)), [this, name] { applyLog(name, log_.size()); });
}

void HandoverModel::restartKeeper(const std::string& name, absl::Duration duration)
{
    keepers_.at(name).isUp = false;
    network_.after(duration, [this, name] {
        if (!keepers_.at(name).isUp)
            startKeeper(name);
    });
}

void HandoverModel::propose(const LogCommand& command)
{
    if (network_.now() < leaderlessUntil_)
        return;
    log_.push_back(command);
    // The second keeper learns of it later.
    for (const std::string& keeper : keeperNames) {
        const absl::Duration lag = keeper == keeperNames.front() ? absl::ZeroDuration() : milliseconds(network_.below(3) == 0 ? network_.below(400) : 2);
        network_.after(lag, [this, keeper, upTo = log_.size()] { applyLog(keeper, upTo); });
    }
}

void HandoverModel::applyLog(const std::string& keeper, size_t upTo)
{
    KeeperHost& host = keepers_.at(keeper);
    if (!host.isUp)
        return;
    for (; host.applied < upTo; ++host.applied) {
        const LogCommand& command = log_.at(host.applied);
        if (const auto* grant = std::get_if<GrantRecord>(&command))
            host.state.apply(*grant, LogIndex(host.applied + 1));
        else if (const auto* minion = std::get_if<MinionRecord>(&command))
            host.state.apply(*minion);
        else
            host.state.apply(std::get<MinionGoneRecord>(command));
    }
    host.registry->setGrants(host.state.grants());
    host.registry->setLoggedMinions(host.state.minions(), host.state.departed());
}

void HandoverModel::pumpKeeper(const std::string& name)
{
    if (KeeperHost& host = keepers_.at(name); host.isUp) {
        if (network_.now() >= leaderlessUntil_) {
            const UnloggedChanges changes = host.registry->takeUnlogged(network_.now());
            for (const MinionReport& report : changes.reports)
                propose(MinionRecord { report });
            for (const MinionInstance& instance : changes.ended)
                propose(MinionGoneRecord { instance });
        }
        for (auto& [to, update] : host.registry->takeUpdates(network_.now()))
            deliver(DaemonId(name), to, update);
    }
    network_.after(absl::Milliseconds(10), [this, name] { pumpKeeper(name); });
}

std::string HandoverModel::keeperOf(const ModelMinion& minion) const
{
    // A minion reports to another keeper if it can't reach the first one.
    const size_t first = stableHash(minion.address()) % keeperNames.size();
    for (size_t i = 0; i < keeperNames.size(); ++i) {
        const std::string& keeper = keeperNames.at((first + i) % keeperNames.size());
        if (keepers_.at(keeper).isUp && !network_.isCut(minion.address(), keeper))
            return keeper;
    }
    return {};
}

void HandoverModel::reportMinion(size_t index)
{
    ModelMinion& minion = *minions_[index];
    if (const std::string keeper = keeperOf(minion); minion.isUp() && !keeper.empty())
        reportTo(keeper, minion.report());
    network_.after(reportInterval, [this, index] { reportMinion(index); });
}

void HandoverModel::reportTo(const std::string& keeper, const MinionReport& report)
{
    if (keepers_.at(keeper).registry->minionReported(report, network_.now()) == ReportOutcome::Changed)
        propose(MinionRecord { report });
}

void HandoverModel::deleteMinion(const std::string& keeper, const MinionId& minion)
{
    if (const std::optional<MinionReport> left = keepers_.at(keeper).registry->minionLeft(minion, network_.now()))
        propose(MinionRecord { *left });
}

void HandoverModel::leave(ModelMinion& minion, const ModelNetwork::Action& beside)
{
    const std::string keeper = keeperOf(minion);
    if (!minion.isUp() || minion.isLeaving() || keeper.empty())
        return;
    minion.beginToLeave();
    reportTo(keeper, minion.report());
    const absl::Duration drainTime = milliseconds(100 + network_.below(500));
    network_.after(drainTime, [this, &minion, instance = minion.instance(), beside] {
        const std::string reached = keeperOf(minion);
        if (minion.instance() != instance || !minion.isUp())
            return;
        if (beside)
            beside();
        if (!reached.empty())
            deleteMinion(reached, instance.minion);
        const bool isAnswered = network_.below(2) == 0;
        network_.after(milliseconds(isAnswered ? 2 : 500 + network_.below(2000)), [this, &minion, instance] {
            if (minion.instance() != instance || !minion.isUp())
                return;
            minion.crash();
            network_.after(milliseconds(200 + network_.below(1000)), [this, &minion] { startMinion(minion, &ModelMinion::replace); });
        });
    });
}

void HandoverModel::submitJob()
{
    submit(JobKey(absl::StrCat("job-", ++jobs_)), 1 + static_cast<uint32_t>(network_.below(2)), 3);
    network_.after(submitInterval, [this] { submitJob(); });
}

void HandoverModel::submit(const JobKey& job, uint32_t tasks, int attempts)
{
    EntryHost& host = entries_.at(entryNames.at(network_.below(entryNames.size())));
    if (host.isFrozen || !host.process->submit(job, tasks))
        return;
    openJobs_[job] = tasks;
    // A caller whose entry restarts gets no answer and submits its job again, like one whose job was given up.
    const DaemonRun run = host.process->self();
    const auto watch = std::make_shared<std::function<void()>>();
    *watch = [this, job, tasks, attempts, run, weak = std::weak_ptr(watch)] {
        const bool isWaiting = openJobs_.contains(job) && entries_.at(run.daemon.value()).process->self() == run;
        const auto again = weak.lock();
        if (isWaiting && again)
            network_.after(absl::Milliseconds(20), [again] { (*again)(); });
        else if (openJobs_.erase(job) > 0 && attempts > 0)
            network_.after(resubmitDelay, [this, job, tasks, attempts] { submit(job, tasks, attempts - 1); });
    };
    (*watch)();
}

void HandoverModel::answered(const JobKey& job, AnswerKind kind)
{
    const auto open = openJobs_.find(job);
    if (open == openJobs_.end())
        return;
    completed_ += kind == AnswerKind::Completed ? 1 : 0;
    const uint32_t tasks = open->second;
    openJobs_.erase(open);
    if (kind == AnswerKind::GaveUp)
        network_.after(resubmitDelay, [this, job, tasks] { submit(job, tasks, 1); });
}

void HandoverModel::started(const std::string& where, const ModelTask& task)
{
    ++starts_;
    const auto [running, isFirst] = running_.try_emplace(task, where);
    if (!isFirst && violation_.empty())
        violation_ = absl::StrCat(task.first.value(), "/", task.second.value(), " runs on ", running->second, " and ", where, " at ", absl::FormatDuration(network_.now() - absl::FromUnixSeconds(1000)), " after", story_);
}

void HandoverModel::ended(const std::string& where, const ModelTask& task)
{
    const auto running = running_.find(task);
    if (running != running_.end() && running->second == where)
        running_.erase(running);
}

void HandoverModel::runInOtherCell(const JobKey& job, uint32_t tasks)
{
    for (uint32_t index = 0; index < tasks; ++index) {
        const ModelTask task { job, TaskIndex(index) };
        started(otherCell, task);
        network_.after(milliseconds(200 + network_.below(1500)), [this, task] { ended(otherCell, task); });
    }
}

std::string HandoverModel::anyNode()
{
    const uint64_t chosen = network_.below(entryNames.size() + keeperNames.size() + minionCount);
    if (chosen < entryNames.size())
        return entryNames.at(chosen);
    if (chosen < entryNames.size() + keeperNames.size())
        return keeperNames.at(chosen - entryNames.size());
    return minions_[chosen - entryNames.size() - keeperNames.size()]->address();
}

std::vector<std::string> HandoverModel::minionNames() const
{
    std::vector<std::string> names;
    for (const auto& minion : minions_)
        names.push_back(minion->address());
    return names;
}

void HandoverModel::grantTo(const std::string& owner)
{
    const bool isFirstUp = keepers_.at(keeperNames.front()).isUp;
    const auto& grants = keepers_.at(isFirstUp ? keeperNames.front() : keeperNames.back()).state.grants();
    const auto known = grants.find(cell);
    propose(GrantRecord { cell, entries_.at(owner).process->self(), known == grants.end() ? OwnerEpoch(0) : known->second.epoch });
}

void HandoverModel::cut(const std::vector<std::string>& side, const std::vector<std::string>& other, absl::Duration duration)
{
    for (const std::string& a : side) {
        for (const std::string& b : other) {
            if (a == b)
                continue;
            network_.cut(a, b);
            network_.after(duration, [this, a, b] { network_.heal(a, b); });
        }
    }
}

void HandoverModel::restartMinion(ModelMinion& minion, void (ModelMinion::*start)())
{
    minion.crash();
    network_.after(milliseconds(network_.below(500)), [this, &minion, start] { startMinion(minion, start); });
}

void HandoverModel::startMinion(ModelMinion& minion, void (ModelMinion::*start)())
{
    if (minion.isUp())
        return;
    (minion.*start)();
    // Its first report may be late.
    if (const std::string keeper = keeperOf(minion); !keeper.empty() && network_.below(2) == 0)
        reportTo(keeper, minion.report());
}

void HandoverModel::forgetMinion()
{
    grantTo(entryNames.front());
    ModelMinion& minion = anyMinion();
    const std::string keeper = keeperOf(minion);
    const absl::Duration leaderless = milliseconds(600 + network_.below(400));
    network_.after(milliseconds(100), [this, leaderless, &minion] {
        leaderlessUntil_ = network_.now() + leaderless;
        restartMinion(minion, &ModelMinion::replace);
    });
    // The keeper is killed before or after the minion has reported again.
    const absl::Duration killedAfter = leaderless + milliseconds(500 + network_.below(3000));
    network_.after(killedAfter, [this, keeper] { restartKeeper(keeper, milliseconds(100 + network_.below(200))); });
    network_.after(killedAfter + milliseconds(200 + network_.below(600)), [this] { grantTo(entryNames.back()); });
    absl::StrAppend(&story_, "; ", absl::FormatDuration(network_.now() - absl::FromUnixSeconds(1000)), " ", minion.address(), " is replaced without a leader for ", absl::FormatDuration(leaderless), ", restart of ", keeper, " after ", absl::FormatDuration(killedAfter));
}

void HandoverModel::leaveDuringHandover()
{
    grantTo(entryNames.front());
    ModelMinion& minion = anyMinion();
    leave(minion, [this] {
        freeze(entryNames.front(), milliseconds(1000 + network_.below(1000)));
        network_.after(milliseconds(network_.below(200)), [this] { grantTo(entryNames.back()); });
    });
    absl::StrAppend(&story_, "; ", absl::FormatDuration(network_.now() - absl::FromUnixSeconds(1000)), " ", minion.address(), " leaves during a hand-over");
}

void HandoverModel::missUpdates()
{
    const std::string& entry = entryNames.at(network_.below(entryNames.size()));
    const std::string& other = entry == entryNames.front() ? entryNames.back() : entryNames.front();
    const absl::Duration cutTime = milliseconds(900 + network_.below(500));
    cut({ entry }, { keeperNames.begin(), keeperNames.end() }, cutTime);
    network_.after(milliseconds(network_.below(300)), [this] { restartMinion(anyMinion(), &ModelMinion::replace); });
    network_.after(milliseconds(500 + network_.below(200)), [this, other] { grantTo(other); });
    network_.after(cutTime + milliseconds(network_.below(700)), [this, entry] { grantTo(entry); });
    absl::StrAppend(&story_, "; ", absl::FormatDuration(network_.now() - absl::FromUnixSeconds(1000)), " ", entry, " misses updates for ", absl::FormatDuration(cutTime));
}

void HandoverModel::leaveStoppedEntry()
{
    const std::string& entry = entryNames.at(network_.below(entryNames.size()));
    const absl::Duration duration = resubmitDelay + milliseconds(network_.below(1200));
    freeze(entry, duration);
    EntryHost& host = entries_.at(entry);
    for (const auto& [ticket, job] : host.process->callersLeave()) {
        const auto open = openJobs_.extract(job);
        if (open.empty())
            continue;
        network_.after(resubmitDelay + milliseconds(network_.below(600)), [this, job = job, tasks = open.mapped()] { runInOtherCell(job, tasks); });
        network_.after(duration + milliseconds(network_.below(2000)), [this, entry, run = host.process->self(), ticket = ticket] {
            whenRunning(run, [this, entry, ticket] { entries_.at(entry).process->closeRead(ticket); });
        });
    }
    absl::StrAppend(&story_, "; ", absl::FormatDuration(network_.now() - absl::FromUnixSeconds(1000)), " the callers of ", entry, " leave, which stands still for ", absl::FormatDuration(duration));
}

void HandoverModel::disturb(Disturbance kind)
{
    const absl::Duration duration = milliseconds(network_.below(2) == 0 ? 50 + network_.below(400) : 300 + network_.below(3000));
    absl::StrAppend(&story_, "; ", absl::FormatDuration(network_.now() - absl::FromUnixSeconds(1000)), " ", disturbAs(kind, duration), " ", absl::FormatDuration(duration));
}

std::string HandoverModel::disturbAs(Disturbance kind, absl::Duration duration)
{
    const std::string& entry = entryNames.at(network_.below(entryNames.size()));
    switch (kind) {
    case Disturbance::Grant:
        grantTo(entry);
        return absl::StrCat("grant ", log_.size(), " to ", entry);
    case Disturbance::CutPair: {
        const std::string a = anyNode();
        const std::string b = anyNode();
        cut({ a }, { b }, duration);
        return absl::StrCat("cut of ", a, " and ", b);
    }
    case Disturbance::CutNode: {
        const std::string node = anyNode();
        std::vector<std::string> others = minionNames();
        others.insert(others.end(), entryNames.begin(), entryNames.end());
        others.insert(others.end(), keeperNames.begin(), keeperNames.end());
        cut({ node }, others, duration);
        return absl::StrCat("cut of ", node);
    }
    case Disturbance::CutSide: {
        std::vector<std::string> side = minionNames();
        side.push_back(entry);
        std::vector<std::string> others { keeperNames.begin(), keeperNames.end() };
        others.push_back(entry == entryNames.front() ? entryNames.back() : entryNames.front());
        cut(side, others, duration);
        return absl::StrCat("cut of ", entry, " with the minions");
    }
    case Disturbance::RestartMinion:
        restartMinion(anyMinion(), &ModelMinion::restart);
        return "restart of a minion";
    case Disturbance::ReplaceMinion:
        restartMinion(anyMinion(), &ModelMinion::replace);
        return "replacement of a minion";
    case Disturbance::FreezeEntry:
        freeze(entry, duration);
        return absl::StrCat("freeze of ", entry);
    case Disturbance::RestartEntry:
        startEntry(entry);
        return absl::StrCat("restart of ", entry);
    case Disturbance::LoseLeader:
        leaderlessUntil_ = network_.now() + duration;
        return "loss of the leader";
    case Disturbance::RestartKeeper: {
        const std::string& keeper = keeperNames.at(network_.below(keeperNames.size()));
        restartKeeper(keeper, std::min(duration, absl::Milliseconds(500)));
        return absl::StrCat("restart of ", keeper);
    }
    case Disturbance::LeaveMinion: {
        ModelMinion& minion = anyMinion();
        leave(minion);
        return absl::StrCat("leave of ", minion.address());
    }
    }
    return "nothing";
}

} // namespace trefoilwing
