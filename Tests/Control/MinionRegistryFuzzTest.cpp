#include "Control/EntryCluster.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <ostream>

#include <CppUTest/TestHarness.h>

// Faults at any moment, over entries that keep the leases of one data centre's minions. The oracle:
// a run of an entry that has known a minion's run as leaving is never told that it serves, an older
// run never comes back, and soon after the faults end all entries know exactly what is there.

using namespace trefoilwing;

namespace {

constexpr size_t minions = 4;

/// One more than the largest choice of an action.
constexpr uint32_t maxChoice = 1000;

/// Longer than a minion's lease and than the silence after which an entry is gone.
constexpr absl::Duration settlingTime = absl::Seconds(9);

struct NoModel { };

/// One kind of fault or event, with what it happens to and a number for whatever else is chosen.
struct ActionKind {
    const char* name;
    void (*act)(EntryCluster&, size_t target, uint32_t choice);
};

/// Delivers a copy of any earlier announcement to any entry.
void announceAgain(EntryCluster& cluster, size_t target, uint32_t choice)
{
    if (!cluster.history().empty())
        cluster.announce(cluster.history()[choice * cluster.history().size() / maxChoice], target);
}

/// A minion that leaves forgets it once, and renews its lease as if it served.
void serveAgain(EntryCluster& cluster, size_t target, uint32_t choice)
{
    for (size_t i = target; i < target + minions; ++i) {
        MinionAnnouncement& announcement = cluster.minion(i).announcement;
        if (announcement.state != MinionState::Leaving)
            continue;
        MinionAnnouncement wrong = announcement;
        wrong.sequence = ++announcement.sequence;
        wrong.state = MinionState::Serving;
        cluster.announce(wrong, choice);
    }
}

constexpr std::array<ActionKind, 17> actionKinds { {
    { "run", [](EntryCluster& cluster, size_t, uint32_t choice) { cluster.run(absl::Milliseconds(choice)); } },
    { "run long", [](EntryCluster& cluster, size_t, uint32_t choice) { cluster.run(absl::Milliseconds(4 * choice)); } },
    { "kill", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.kill(target); } },
    { "restart", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.restart(target); } },
    { "freeze", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.freeze(target); } },
    { "resume", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.resume(target); } },
    { "drain", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.drain(target); } },
    { "leave", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.leave(target); } },
    { "isolate", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.isolate(target); } },
    { "heal", [](EntryCluster& cluster, size_t, uint32_t) { cluster.heal(); } },
    { "disturb", [](EntryCluster& cluster, size_t, uint32_t choice) {
         cluster.setFaults({ choice % 40, 40 - choice % 40, absl::Milliseconds(choice) });
     } },
    { "stop minion", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.stopMinion(target); } },
    { "restart minion", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.restartMinion(target); } },
    { "leave minion", [](EntryCluster& cluster, size_t target, uint32_t) { cluster.leaveMinion(target); } },
    { "resize minion", [](EntryCluster& cluster, size_t target, uint32_t choice) { cluster.resizeMinion(target, choice % 9); } },
    { "announce again", announceAgain },
    { "serve again", serveAgain },
} };

struct Action : rc::state::Command<NoModel, EntryCluster> {
    size_t kind = *rc::gen::inRange<size_t>(0, actionKinds.size());
    size_t target = *rc::gen::inRange<size_t>(0, 12);
    uint32_t choice = *rc::gen::inRange<uint32_t>(0, maxChoice);

    void run(const NoModel&, EntryCluster& cluster) const override
    {
        actionKinds[kind].act(cluster, target, choice);
        RC_ASSERT(cluster.violation() == "");
    }

    void show(std::ostream& stream) const override
    {
        stream << actionKinds[kind].name << "(" << target << ", " << choice << ")";
    }
};

/// Ends all faults, so that the entries must come to the truth.
void settle(EntryCluster& cluster)
{
    cluster.heal();
    for (size_t i = 0; i < cluster.size(); ++i) {
        cluster.resume(i);
        if (!cluster.entry(i).isUp())
            cluster.restart(i);
    }
    cluster.run(settlingTime);
}

} // namespace

TEST_GROUP(MinionRegistryFuzz) {};

TEST(MinionRegistryFuzz, EntriesComeToTheTruthAndLeavingStands)
{
    CHECK(rc::check("leases under faults", [] {
        EntryCluster cluster({ 1, 3, *rc::gen::inRange<uint64_t>(1, 1000000) });
        for (size_t i = 0; i < minions; ++i)
            cluster.addMinion();
        cluster.run(absl::Seconds(2));
        rc::state::check(NoModel {}, cluster, rc::state::gen::execOneOfWithArgs<Action>());
        settle(cluster);
        RC_ASSERT(cluster.violation() == "");
        RC_ASSERT(cluster.disagreement() == "");
    }));
}
