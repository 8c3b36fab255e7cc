#include "Placement/PlacementForecast.h"

#include <algorithm>

namespace trefoilwing {

namespace {

    /// Maximum number of steps, which bounds the time that a forecast takes. What is open by then counts as too late.
    constexpr size_t maxSteps = 4000;

    /// Minimum time that a run is expected to last still, as a fraction of the expected time. A run that is overdue is
    /// expected to last still as long as it is overdue, since its minion may hang.
    constexpr double minRemainder = 0.1;

    /// Time for which a run whose job isn't known, or that is being stopped, is expected to last still.
    constexpr absl::Duration unknownRemainder = absl::Milliseconds(60);

    absl::Time expectedEnd(const LeasedMinion& minion, const Run& run, absl::Time now)
    {
        if (!run.job || run.state == RunState::Stopping)
            return now + unknownRemainder;
        const absl::Duration expected = minion.expectedTime(run.job->offer().estimate);
        const absl::Time end = run.startedAt + expected;
        return now + std::max({ end - now, now - end, expected * minRemainder });
    }

} // namespace

PlacementForecast::PlacementForecast(const MinionTable& minions, const DispatchPolicy& policy, absl::Time now)
    : policy_(policy)
    , now_(now)
{
    for (const auto& [id, minion] : minions) {
        if (!minion->isUsable(now))
            continue;
        fastest_ = places_.empty() ? minion->slowness() : std::min(fastest_, minion->slowness());
        for (const auto& [runId, run] : minion->runs())
            releases_.push({ expectedEnd(*minion, run, now), places_.size(), run.need });
        places_.push_back({ minion->free(), minion->slowness() });
    }
}

void PlacementForecast::insert(const Waiting& waiting)
{
    minMilliCores_ = minMilliCores_ == 0 ? waiting.need.milliCores : std::min(minMilliCores_, waiting.need.milliCores);
    const auto position = std::upper_bound(waiting_.begin(), waiting_.end(), waiting.rank, [](double rank, const Waiting& other) { return rank < other.rank; });
    waiting_.insert(position, waiting);
}

void PlacementForecast::add(CellJob& job, double rank, absl::Time limit)
{
    const JobOffer& offer = job.offer();
    insert({ rank, offer.need, job.queuedCount(), offer.estimate, job.lateAt(), limit, forecasts_.size() });
    forecasts_.push_back({ &job });
    ++open_;
}

void PlacementForecast::addArrivals(const std::vector<JobArrival>& last, double jobsPerSecond, const JobOrder& order, absl::Time now)
{
    if (last.empty() || jobsPerSecond <= 0)
        return;
    JobOffer offer;
    offer.priority = last.front().priority;
    offer.estimate = last.front().estimate;
    offer.untilLate = last.front().untilLate;
    const CellJob sample(offer, {}, now, policy_.lateTolerance);
    const double slack = absl::ToDoubleSeconds(offer.untilLate - offer.estimate);
    const absl::Duration interval = absl::Seconds(1 / jobsPerSecond);
    streams_.push_back({ &last, interval, order.rank(sample, now) - slack, now + interval, 0 });
}

void PlacementForecast::arrive(Stream& stream)
{
    const JobArrival& like = (*stream.last)[stream.next++ % stream.last->size()];
    const absl::Time at = stream.nextAt;
    stream.nextAt += stream.interval;
    const double slack = absl::ToDoubleSeconds(at + like.untilLate - like.estimate - now_);
    insert({ stream.rankBase + slack, like.need, like.taskCount, like.estimate, at + like.untilLate, at + like.untilLate });
    fillAll(at);
}

bool PlacementForecast::waitsForFaster(const Waiting& waiting, const Place& place, absl::Time at) const
{
    // Like MinionChooser, which lets a task wait for a faster minion if it would be late on this one.
    const double margin = 1 + policy_.speedMargin;
    return at + waiting.estimate * place.slowness * margin > waiting.lateAt && at + waiting.estimate * fastest_ * margin <= waiting.lateAt;
}

void PlacementForecast::drop(const Waiting& waiting)
{
    if (!waiting.forecast)
        return;
    forecasts_[*waiting.forecast].end = absl::InfiniteFuture();
    settle(*waiting.forecast);
}

void PlacementForecast::settle(size_t forecast)
{
    --open_;
    isTargetOpen_ = isTargetOpen_ && forecast != target_;
}

void PlacementForecast::fill(size_t index, absl::Time at)
{
    Place& place = places_[index];
    for (size_t i = 0; i < waiting_.size() && place.free.milliCores >= minMilliCores_;) {
        Waiting& waiting = waiting_[i];
        if (at + waiting.estimate * fastest_ > waiting.limit) {
            drop(waiting);
            waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
            continue;
        }
        if (!place.free.holds(waiting.need) || waitsForFaster(waiting, place, at)) {
            ++i;
            continue;
        }
        place.free -= waiting.need;
        const absl::Time end = at + waiting.estimate * place.slowness;
        releases_.push({ end, index, waiting.need });
        if (waiting.forecast) {
            JobForecast& forecast = forecasts_[*waiting.forecast];
            forecast.end = forecast.firstStart == absl::InfiniteFuture() ? end : std::max(forecast.end, end);
            forecast.firstStart = std::min(forecast.firstStart, at);
        }
        if (--waiting.tasks > 0)
            continue;
        if (waiting.forecast)
            settle(*waiting.forecast);
        waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
    }
}

void PlacementForecast::fillAll(absl::Time at)
{
    for (size_t i = 0; i < places_.size(); ++i)
        fill(i, at);
}

bool PlacementForecast::isSettled() const
{
    return open_ == 0 || !isTargetOpen_;
}

void PlacementForecast::play()
{
    fillAll(now_);
    for (size_t step = 0; step < maxSteps && !isSettled(); ++step) {
        const auto stream = std::min_element(streams_.begin(), streams_.end(), [](const Stream& a, const Stream& b) { return a.nextAt < b.nextAt; });
        if (stream != streams_.end() && (releases_.empty() || stream->nextAt < releases_.top().at)) {
            // Without releases nothing can start any more.
            if (releases_.empty())
                break;
            arrive(*stream);
            continue;
        }
        if (releases_.empty())
            break;
        const Release release = releases_.top();
        releases_.pop();
        places_[release.place].free += release.need;
        fill(release.place, release.at);
    }
    // What hasn't been placed completely counts as too late.
    for (const Waiting& waiting : waiting_)
        drop(waiting);
}

std::vector<JobForecast> PlacementForecast::run()
{
    play();
    return std::move(forecasts_);
}

JobForecast PlacementForecast::runFor(const CellJob& job)
{
    const auto found = std::find_if(forecasts_.begin(), forecasts_.end(), [&](const JobForecast& each) { return each.job == &job; });
    target_ = static_cast<size_t>(found - forecasts_.begin());
    play();
    return forecasts_[*target_];
}

} // namespace trefoilwing
