#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace trefoilwing::broker {

/// Factories for the strategies of one interface, by the name that a policy selects them with.
template <typename Strategy>
class StrategyRegistry {
public:
    using Factory = std::function<std::unique_ptr<Strategy>()>;

    /// Registers a strategy class under its name.
    /// @return the registry, so that calls can be chained.
    template <typename Concrete>
    StrategyRegistry& add(std::string name)
    {
        factories_.insert_or_assign(std::move(name), [] { return std::make_unique<Concrete>(); });
        return *this;
    }

    /// @return a new strategy, or null if the name isn't registered.
    std::unique_ptr<Strategy> create(const std::string& name) const
    {
        auto factory = factories_.find(name);
        return factory == factories_.end() ? nullptr : factory->second();
    }

    /// @return the names of all strategies, sorted.
    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const auto& [name, factory] : factories_)
            names.push_back(name);
        return names;
    }

private:
    std::map<std::string, Factory> factories_;
};

} // namespace trefoilwing::broker
