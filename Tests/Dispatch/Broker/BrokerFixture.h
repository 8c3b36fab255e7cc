#pragma once

#include "Dispatch/Broker/QueueingSlotBroker.h"
#include "Support/SeededRandom.h"

#include <map>
#include <string>

namespace trefoilwing {

/// A broker with a manually advanced time, and helpers for the messages that the tests send.
class BrokerFixture {
public:
    explicit BrokerFixture(const BrokerPolicy& policy = {})
        : random(1)
        , broker(std::get<0>(QueueingSlotBroker::create(policy, random)))
    {
    }

    static DaemonRun run(const std::string& daemon, uint64_t incarnation = 1) { return { DaemonId(daemon), Incarnation(incarnation) }; }

    void announce(const std::string& minion, uint32_t slots, uint32_t busy = 0, MinionState state = MinionState::Serving)
    {
        MinionAnnouncement announcement;
        announcement.minion = MinionId(minion);
        announcement.incarnation = Incarnation(1);
        announcement.sequence = ++announcements;
        announcement.slots = SlotCount(slots);
        announcement.busySlots = SlotCount(busy);
        announcement.state = state;
        broker->minionAnnounced(announcement, now);
    }

    Demand demand(uint64_t job, uint32_t tasks, const std::string& backer = "b", const std::string& kind = "k") const
    {
        Demand demand { JobNumber(job), BackerId(backer), now, now + absl::Seconds(30), {}, {} };
        if (tasks > 0)
            demand.waiting[TaskKindId(kind)] = tasks;
        return demand;
    }

    static SlotReport report(uint64_t job, const std::string& minion, SlotEnding ending = SlotEnding::Succeeded)
    {
        return { JobNumber(job), MinionId(minion), TaskKindId("k"), ending, absl::Milliseconds(100) };
    }

    void update(const DaemonRun& entry, std::vector<Demand> demands, std::vector<SlotReport> reports = {})
    {
        BrokerUpdate update;
        update.entry = entry;
        update.stream = streams;
        update.sequence = ++sequences[entry];
        update.received = received[entry];
        update.demands = std::move(demands);
        update.reports = std::move(reports);
        broker->entryUpdated(update, now);
    }

    /// Starts a stream of an entry with its full state.
    void sendFullState(const DaemonRun& entry, uint64_t stream, std::vector<Demand> demands, std::map<MinionId, uint32_t> held)
    {
        sequences[entry] = 1;
        received[entry] = 0;
        streams = stream;
        broker->entryUpdated({ ServiceId("s"), entry, stream, 1, std::move(demands), {}, std::move(held) }, now);
    }

    /// Makes the broker learn run times, from the reports of 200 tasks per minion of an unknown job.
    void trainRunTimes(const DaemonRun& entry, const std::vector<std::pair<std::string, absl::Duration>>& minions, const std::string& kind = "k")
    {
        constexpr uint32_t tasks = 200;
        std::map<MinionId, uint32_t> held;
        std::vector<SlotReport> reports;
        for (uint32_t task = 0; task < tasks; ++task) {
            for (const auto& [minion, runTime] : minions) {
                ++held[MinionId(minion)];
                reports.push_back({ JobNumber(0), MinionId(minion), TaskKindId(kind), SlotEnding::Succeeded, runTime });
            }
        }
        sendFullState(entry, ++streams, {}, std::move(held));
        update(entry, {}, std::move(reports));
    }

    /// Lets the broker decide.
    /// @return the number of slots granted by job.
    std::map<uint64_t, uint32_t> grants()
    {
        std::map<uint64_t, uint32_t> slots;
        lastDecisions = broker->decide(now);
        for (const EntryDecisions& decisions : lastDecisions) {
            received[decisions.entry] = decisions.sequence;
            for (const Grant& grant : decisions.grants) {
                slots[grant.job.value()] += grant.slots.value();
                byMinion[grant.minion.value()] += grant.slots.value();
            }
        }
        return slots;
    }

    absl::Time now = absl::FromUnixSeconds(1000000);
    uint64_t announcements = 0;
    uint64_t streams = 1;
    std::map<DaemonRun, uint64_t> sequences;
    std::map<DaemonRun, uint64_t> received;
    std::map<std::string, uint32_t> byMinion;
    std::vector<EntryDecisions> lastDecisions;
    SeededRandom random;
    std::unique_ptr<QueueingSlotBroker> broker;
};

} // namespace trefoilwing
