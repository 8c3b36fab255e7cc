#include "StandIns/MinionBehaviour.h"

#include <map>
#include <utility>

namespace trefoilwing {

namespace {

    std::map<std::string, MinionBehaviour::Factory>& registry()
    {
        static std::map<std::string, MinionBehaviour::Factory> factories;
        return factories;
    }

    /// Registers a behaviour under its name.
    template <typename Behaviour>
    struct Registration {
        explicit Registration(const char* name)
        {
            registry()[name] = [](uint64_t after) {
                auto behaviour = std::make_unique<Behaviour>();
                behaviour->after = after;
                return behaviour;
            };
        }
    };

    struct Obedient : MinionBehaviour {
        uint64_t after = 0;
    };
    const Registration<Obedient> obedient("obedient");

    struct Slow : Obedient {
        static constexpr double factor = 4;

        absl::Duration actualRunTime(absl::Duration runTime, uint64_t) const override { return runTime * factor; }
    };
    const Registration<Slow> slow("slow");

    /// Runs one start in ten much longer than expected.
    struct Straggler : Obedient {
        static constexpr double factor = 20;
        static constexpr uint64_t period = 10;

        absl::Duration actualRunTime(absl::Duration runTime, uint64_t startNumber) const override
        {
            return startNumber % period == 0 ? runTime * factor : runTime;
        }
    };
    const Registration<Straggler> straggler("straggler");

    struct Refuses : Obedient {
        bool refuses() const override { return true; }
    };
    const Registration<Refuses> refuses("refuses");

    struct FailsEverything : Obedient {
        absl::Duration actualRunTime(absl::Duration, uint64_t) const override { return absl::Milliseconds(1); }
        TaskStatus status() const override { return TaskStatus::Failed; }
    };
    const Registration<FailsEverything> failsEverything("fails_everything");

    struct CannotBegin : Obedient {
        absl::Duration actualRunTime(absl::Duration, uint64_t) const override { return absl::ZeroDuration(); }
        TaskStatus status() const override { return TaskStatus::NotRun; }
    };
    const Registration<CannotBegin> cannotBegin("cannot_begin");

    /// Answers starts only after the entry's timeout for the answer.
    struct AnswersLate : Obedient {
        absl::Duration answerDelay() const override { return absl::Milliseconds(1500); }
    };
    const Registration<AnswersLate> answersLate("answers_late");

    struct AnswersTwice : Obedient {
        std::vector<std::vector<TaskResult>> splitIntoBatches(std::vector<TaskResult> results) const override { return { results, results }; }
    };
    const Registration<AnswersTwice> answersTwice("answers_twice");

    /// First posts each result under the id of another attempt, then the correct results in reverse order.
    struct Crossed : Obedient {
        std::vector<std::vector<TaskResult>> splitIntoBatches(std::vector<TaskResult> results) const override
        {
            std::vector<TaskResult> wrong = results;
            for (size_t i = 0; i < wrong.size(); ++i) {
                wrong[i].attempt = results.size() > 1 ? results[(i + 1) % results.size()].attempt : AttemptId(wrong[i].attempt.value() + 1);
                wrong[i].output = "crossed";
            }
            return { std::move(wrong), { results.rbegin(), results.rend() } };
        }
    };
    const Registration<Crossed> crossed("crossed");

    /// Stops answering and announcing without having announced the state "leaving".
    struct Silent : Obedient {
        bool isResponsive(uint64_t starts) const override { return starts < after; }
        bool sendsAnnouncements(uint64_t starts) const override { return starts < after; }
    };
    const Registration<Silent> silent("silent");

    struct Crash : Obedient {
        bool crashes(uint64_t starts) const override { return starts >= after; }
    };
    const Registration<Crash> crash("crash");

    /// Still accepts connections and sends announcements, but no longer answers.
    struct Hung : Obedient {
        bool isResponsive(uint64_t starts) const override { return starts < after; }
    };
    const Registration<Hung> hung("hung");

} // namespace

std::unique_ptr<MinionBehaviour> MinionBehaviour::make(const std::string& name, uint64_t after)
{
    const auto found = registry().find(name);
    return found == registry().end() ? nullptr : found->second(after);
}

std::string MinionBehaviour::names()
{
    std::string names;
    for (const auto& [name, factory] : registry())
        names.append(names.empty() ? "" : " ").append(name);
    return names;
}

} // namespace trefoilwing
