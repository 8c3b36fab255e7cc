#include "Daemon/DeclarationStore.h"

#include <utility>

namespace trefoilwing {

std::shared_ptr<const ServiceDeclaration> DeclarationStore::find(const ServiceId& service) const
{
    const MutexLock lock(mutex_);
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
}

std::vector<ServiceId> DeclarationStore::set(const Configuration& configuration)
{
    absl::flat_hash_map<ServiceId, std::shared_ptr<const ServiceDeclaration>> services;
    for (const ServiceDeclaration& declaration : configuration.services)
        services.emplace(declaration.service, std::make_shared<const ServiceDeclaration>(declaration));
    std::vector<ServiceId> removed;
    const MutexLock lock(mutex_);
    for (const auto& [service, declaration] : services_) {
        if (!services.contains(service))
            removed.push_back(service);
    }
    services_ = std::move(services);
    version_ = configuration.version;
    return removed;
}

std::vector<std::shared_ptr<const ServiceDeclaration>> DeclarationStore::all() const
{
    const MutexLock lock(mutex_);
    std::vector<std::shared_ptr<const ServiceDeclaration>> declarations;
    declarations.reserve(services_.size());
    for (const auto& [service, declaration] : services_)
        declarations.push_back(declaration);
    return declarations;
}

ConfigurationVersion DeclarationStore::version() const
{
    const MutexLock lock(mutex_);
    return version_;
}

} // namespace trefoilwing
