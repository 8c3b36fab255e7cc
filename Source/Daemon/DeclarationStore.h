#pragma once

#include "Base/MutexLock.h"
#include "Ports/Declarations.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

namespace trefoilwing {

/// Stores the service declarations in force. Many threads may read it.
class DeclarationStore : public Declarations {
public:
    bool hasConfiguration() const override { return version() > ConfigurationVersion(0); }
    std::shared_ptr<const ServiceDeclaration> find(const ServiceId&) const override;

    /// Replaces the declarations by those of a configuration.
    /// @return the services that the configuration no longer declares.
    std::vector<ServiceId> set(const Configuration&);

    std::vector<std::shared_ptr<const ServiceDeclaration>> all() const;
    ConfigurationVersion version() const;

private:
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<ServiceId, std::shared_ptr<const ServiceDeclaration>> services_ ABSL_GUARDED_BY(mutex_);
    ConfigurationVersion version_ ABSL_GUARDED_BY(mutex_);
};

} // namespace trefoilwing
