#include "Control/ConfigurationState.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace trefoilwing {

namespace {

    ConfigurationVersion next(ConfigurationVersion version)
    {
        return ConfigurationVersion(version.value() + 1);
    }

    Error conflict(std::string message)
    {
        return Error { ErrorCode::Conflict, std::move(message), Verdict::NotRun };
    }

} // namespace

ConfigurationState::ConfigurationState(size_t maxHistory)
    : maxHistory_(maxHistory)
{
}

Result<ConfigurationVersion> ConfigurationState::publish(const PublishRecord& record)
{
    if (record.base > configuration_.version)
        return conflict(absl::StrCat("base version ", record.base.value(), " doesn't exist; version ", configuration_.version.value(), " is in force"));
    if (record.base < configuration_.version)
        return compareWithWinner(record);
    apply(record);
    return configuration_.version;
}

Result<ConfigurationVersion> ConfigurationState::compareWithWinner(const PublishRecord& record) const
{
    const ConfigurationChange* winner = findChange(next(record.base));
    if (!winner)
        return conflict(absl::StrCat("base version ", record.base.value(), " is too old to compare; base the change on version ", configuration_.version.value()));
    if (winner->publish.digest == record.digest)
        return winner->version;
    return conflict(absl::StrCat("version ", winner->version.value(), " was published by ", winner->publish.operatorName,
        " with other content; base the change on version ", configuration_.version.value()));
}

void ConfigurationState::apply(const PublishRecord& record)
{
    std::vector<ServiceDeclaration>& services = configuration_.services;
    std::erase_if(services, [&](const ServiceDeclaration& service) {
        return std::find(record.removed.begin(), record.removed.end(), service.service) != record.removed.end();
    });
    for (const ServiceDeclaration& changed : record.changed) {
        auto place = std::lower_bound(services.begin(), services.end(), changed,
            [](const ServiceDeclaration& a, const ServiceDeclaration& b) { return a.service < b.service; });
        if (place != services.end() && place->service == changed.service)
            *place = changed;
        else
            services.insert(place, changed);
    }
    configuration_.version = next(configuration_.version);
    history_.push_back({ configuration_.version, record });
    if (history_.size() > maxHistory_)
        history_.pop_front();
}

const ConfigurationChange* ConfigurationState::findChange(ConfigurationVersion version) const
{
    if (history_.empty() || version < history_.front().version || version > history_.back().version)
        return nullptr;
    return &history_[version.value() - history_.front().version.value()];
}

ConfigurationDelta ConfigurationState::deltaSince(ConfigurationVersion since) const
{
    ConfigurationDelta delta { since, std::nullopt, {} };
    if (since >= configuration_.version)
        return delta;
    if (!findChange(next(since))) {
        delta.whole = configuration_;
        return delta;
    }
    for (ConfigurationVersion version = next(since); version <= configuration_.version; version = next(version))
        delta.changes.push_back(*findChange(version));
    return delta;
}

bool ConfigurationState::adopt(const ConfigurationDelta& delta)
{
    const ConfigurationVersion before = configuration_.version;
    if (delta.whole && delta.whole->version > configuration_.version) {
        configuration_ = *delta.whole;
        history_.clear();
    }
    for (const ConfigurationChange& change : delta.changes) {
        if (change.version == next(configuration_.version))
            apply(change.publish);
    }
    return configuration_.version > before;
}

std::vector<SnapshotChunk> ConfigurationState::snapshot() const
{
    return { ConfigurationChunk { configuration_, { history_.begin(), history_.end() } } };
}

void ConfigurationState::restore(const std::vector<SnapshotChunk>& chunks)
{
    configuration_ = {};
    history_.clear();
    for (const SnapshotChunk& chunk : chunks) {
        if (const auto* content = std::get_if<ConfigurationChunk>(&chunk)) {
            configuration_ = content->configuration;
            history_.assign(content->history.begin(), content->history.end());
        }
    }
}

} // namespace trefoilwing
